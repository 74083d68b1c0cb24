"""Who may use a queue and a job: customers, identified by their keys.

Keys are SHA-256 digests; none of them occurs in a log event or a reason.
"""

import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from daisygw.contracts import CellConfig, JobEnqueued, Queue


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """A key and the name of its customer."""

    key: bytes
    customer: str


KeyIndex: TypeAlias = Mapping[bytes, KeyOwner]


def index_keys(cfg: CellConfig | None) -> KeyIndex:
    """Return the owners of all keys of a configuration, by key."""
    customers = cfg.customers if cfg else None
    return {
        key: KeyOwner(key, customer.name)
        for customer in customers or ()
        for key in customer.keys
    }


def customer_of(index: KeyIndex, key: bytes) -> str:
    """Return the name of the customer that has a key, '' if there is none.

    The time that the comparison takes tells nothing about the key.
    """
    owner = index.get(key)
    if owner is None or not hmac.compare_digest(owner.key, key):
        return ''
    return owner.customer


def may_use_queue(cfg: CellConfig, queue: Queue, customer: str) -> bool:
    """Tell whether a caller may use a queue; ``customer`` '' has no key."""
    return cfg.customers is None or queue.public or bool(customer)


def may_use_job(cfg: CellConfig, enqueued: JobEnqueued, customer: str) -> bool:
    """Tell whether a caller may read, cancel and resubmit a job.

    A job without an owner was accepted on a public queue, or before there
    were customers.  Every customer may use it, and callers without a key only
    while its queue is public.
    """
    if cfg.customers is None:
        return True
    if enqueued.customer or customer:
        return enqueued.customer in {'', customer}
    return any(
        queue.public
        and (queue.host, queue.prefix) == (enqueued.host, enqueued.prefix)
        for queue in cfg.queues
    )


def owner_of_new_job(queue: Queue, customer: str) -> str:
    """Return to whom a new job belongs: on a public queue, to nobody."""
    return '' if queue.public else customer
