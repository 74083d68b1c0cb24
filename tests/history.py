"""The checker of histories: what callers saw against what targets did.

A history is the callers' records and the targets' spans of running
attempts; the checker returns every promise that was broken, in words.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from daisygw.contracts import ResultCode, is_not_run
from standins.load import SubmissionRecord


@dataclass(frozen=True, slots=True)
class Span:
    """One attempt that a target ran; times on the machine's one clock."""

    task: str
    attempt: int
    target: str
    began: float
    ended: float


def faults(
    records: Iterable[SubmissionRecord], spans: Iterable[Span]
) -> list[str]:
    """Return every broken promise of a history."""
    records = list(records)
    spans = list(spans)
    return [
        *_doubled(records, spans),
        *_overlaps(spans),
        *_not_run(records, spans),
        *_answers(records),
    ]


def _jobs(spans: Iterable[Span]) -> Counter[str]:
    return Counter(span.task.rpartition('/')[0] for span in spans)


def _doubled(
    records: list[SubmissionRecord], spans: list[Span]
) -> Iterator[str]:
    tasks = Counter(span.task for span in spans)
    for record in records:
        contract = record.arrival.contract
        if contract.get('repeatable', True) or 'id' not in contract:
            continue
        names = (
            f'{contract["id"]}/{index}'
            for index in range(contract.get('count', 1))
        )
        for task in names:
            if tasks[task] > 1:
                yield f'{task}: not repeatable, started {tasks[task]} times'


def _overlaps(spans: list[Span]) -> Iterator[str]:
    by_task = defaultdict(list)
    for span in spans:
        by_task[span.task].append(span)
    for task, runs in by_task.items():
        runs.sort(key=lambda span: span.began)
        for one, other in zip(runs, runs[1:], strict=False):
            if other.began < one.ended:
                yield f'{task}: ran at {one.target} and {other.target} at once'


def _not_run(
    records: list[SubmissionRecord], spans: list[Span]
) -> Iterator[str]:
    started = _jobs(spans)
    for record in records:
        name = record.arrival.contract.get('id', '')
        if is_not_run(record.code) and started[name]:
            yield f'{name}: {record.code} said not run, it was started'


def _answers(records: list[SubmissionRecord]) -> Iterator[str]:
    for record in records:
        contract = record.arrival.contract
        if record.code != ResultCode.ANSWERED or 'id' not in contract:
            continue
        wanted = f'{contract["id"]}/'.encode()
        count = contract.get('count', 1)
        whole = record.answer.count(b'\n') == count
        if count == 1:
            whole = record.answer.startswith(wanted)
        if not whole:
            yield f'{contract["id"]}: got {record.answer[:60]!r}'
