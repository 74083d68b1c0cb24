"""The contract of a request: what a caller asks and under which policy."""

import enum
from dataclasses import dataclass

from daisygw.contracts._size import Size


class Kind(enum.StrEnum):
    """How the tasks of a request belong together."""

    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class Priority(enum.StrEnum):
    """Who goes first when not all can."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    PATIENT = 'patient'


@dataclass(frozen=True, slots=True)
class Contract:
    """One request as its home failure domain decides it.

    ``deadline`` and ``run`` (the declared run time) are in seconds, 0 where
    none is given; ``work`` names the sort of work for learned run times;
    ``digest`` is that of the body; ``spec`` is a service's own body, kept
    because it must outlive its caller.
    """

    id: str
    team: str
    kind: Kind = Kind.BATCH
    priority: Priority = Priority.NORMAL
    repeatable: bool = True
    checkpoint: bool = False
    count: int = 1
    size: Size = Size()
    deadline: float = 0
    run: float = 0
    work: str = ''
    digest: str = ''
    spec: str = ''
