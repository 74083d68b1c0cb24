"""The contract of a request: what a caller asks for, and its constraints."""

import enum
from dataclasses import dataclass

from daisygw.contracts._size import Size


class Kind(enum.StrEnum):
    """How the tasks of a request relate to each other."""

    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class Priority(enum.StrEnum):
    """Which requests come first when capacity is short."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    PATIENT = 'patient'


@dataclass(frozen=True, slots=True)
class Contract:
    """A request as its home failure domain schedules it.

    ``deadline`` and ``run`` (the declared run time) are in seconds, 0 where
    none is given.  ``work`` names the kind of work for learned run times, and
    ``digest`` is that of the body.  ``spec`` is the body of a service, which
    is stored because a service must outlive its caller.
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
