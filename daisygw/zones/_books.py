"""The books of a failure domain: the state that its log replicates."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from daisygw.contracts import (
    NOTHING,
    JobAccepted,
    JobForgotten,
    RefusalsTallied,
    Register,
    Size,
    TaskEnded,
    TaskKey,
    TaskPlaced,
    TaskRequeued,
    accept,
    end,
    forget,
    minus,
    place,
    plus,
    requeue,
)
from daisygw.machines import (
    TargetDrained,
    TargetDropped,
    TargetListed,
    TargetSetAside,
    Workers,
    drain_target,
    drop_target,
    hold,
    list_target,
    release,
    set_aside,
)
from daisygw.report import Tally, pack, waited


class Books:
    """Jobs, workers and tallies of one failure domain."""

    def __init__(self) -> None:
        """Begin empty."""
        self.register = Register()
        self.workers = Workers()
        self.tally = Tally()
        self.capacity = NOTHING
        self.held = NOTHING


def apply(books: Books, record: Any) -> None:
    """Change the books by one record."""
    _BY_TYPE[type(record)](books, record)


def _accept(books: Books, record: JobAccepted) -> None:
    accept(books.register, record)


def _place(books: Books, record: TaskPlaced) -> None:
    job = books.register.jobs[record.job]
    before = job.tasks[record.index]
    size = place(books.register, record)
    key = TaskKey(record.job, record.index)
    hold(books.workers, record.target, key, size)
    if record.attempt == 1:
        contract = job.contract
        wait = record.at - before.ready
        waited(books.tally, contract.team, contract.kind, wait)
    _set_held(books, plus(books.held, size), record.at)


def _set_held(books: Books, held: Size, at: int) -> None:
    books.held = held
    pack(books.tally.packed, at, held, books.capacity)


def _free(books: Books, target: str, key: TaskKey, at: int) -> None:
    size = books.register.jobs[key.job].contract.size
    release(books.workers, target, key)
    _set_held(books, minus(books.held, size), at)


def _end(books: Books, record: TaskEnded) -> None:
    before = end(books.register, record)
    contract = books.register.jobs[record.job].contract
    books.tally.outcomes[contract.team, record.code] += 1
    if before.target:
        key = TaskKey(record.job, record.index)
        _free(books, before.target, key, record.at)


def _requeue(books: Books, record: TaskRequeued) -> None:
    before = requeue(books.register, record)
    key = TaskKey(record.job, record.index)
    _free(books, before.target, key, record.at)


def _forget(books: Books, record: JobForgotten) -> None:
    forget(books.register, record)


def _list(books: Books, record: TargetListed) -> None:
    added = list_target(books.workers, record)
    books.capacity = plus(books.capacity, added)


def _drop(books: Books, record: TargetDropped) -> None:
    lost = drop_target(books.workers, record)
    books.capacity = minus(books.capacity, lost)


def _drain(books: Books, record: TargetDrained) -> None:
    drain_target(books.workers, record)


def _aside(books: Books, record: TargetSetAside) -> None:
    set_aside(books.workers, record)


def _refusals(books: Books, record: RefusalsTallied) -> None:
    books.tally.refusals[record.team, record.code] += record.count


_BY_TYPE: Mapping[type, Callable[[Books, Any], None]] = MappingProxyType({
    JobAccepted: _accept,
    JobForgotten: _forget,
    RefusalsTallied: _refusals,
    TargetDrained: _drain,
    TargetDropped: _drop,
    TargetListed: _list,
    TargetSetAside: _aside,
    TaskEnded: _end,
    TaskPlaced: _place,
    TaskRequeued: _requeue,
})
