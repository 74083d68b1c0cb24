"""Check a run's history: what callers were told against what targets ran.

A history consists of the callers' records and the attempts that the targets
ran; the checker returns a message for each violated guarantee.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from daisygw.contracts import ResultCode, is_not_run
from standins.load import SubmissionRecord


@dataclass(frozen=True, slots=True)
class Span:
    """One attempt that a target ran (s, on the machine's monotonic clock)."""

    task: str
    attempt: int
    target: str
    began: float
    ended: float


def find_violations(
    records: Iterable[SubmissionRecord], spans: Iterable[Span]
) -> list[str]:
    """Return a message for each guarantee that a history violates."""
    records = list(records)
    spans = list(spans)
    return [
        *_repeated_starts(records, spans),
        *_concurrent_attempts(spans),
        *_wrong_not_run(records, spans),
        *_wrong_answers(records),
    ]


def _starts_by_job(spans: Iterable[Span]) -> Counter[str]:
    return Counter(span.task.rpartition('/')[0] for span in spans)


def _repeated_starts(
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


def _concurrent_attempts(spans: list[Span]) -> Iterator[str]:
    by_task = defaultdict(list)
    for span in spans:
        by_task[span.task].append(span)
    for task, runs in by_task.items():
        runs.sort(key=lambda span: span.began)
        for one, other in zip(runs, runs[1:], strict=False):
            if other.began < one.ended:
                yield f'{task}: attempts overlap: {one.target}, {other.target}'


def _wrong_not_run(
    records: list[SubmissionRecord], spans: list[Span]
) -> Iterator[str]:
    started = _starts_by_job(spans)
    for record in records:
        name = record.arrival.contract.get('id', '')
        if is_not_run(record.code) and started[name]:
            yield f'{name}: code {record.code} means not run, but it started'


def _wrong_answers(records: list[SubmissionRecord]) -> Iterator[str]:
    for record in records:
        contract = record.arrival.contract
        if record.code != ResultCode.ANSWERED or 'id' not in contract:
            continue
        expected_prefix = f'{contract["id"]}/'.encode()
        count = contract.get('count', 1)
        complete = record.answer.count(b'\n') == count
        if count == 1:
            complete = record.answer.startswith(expected_prefix)
        if not complete:
            yield f'{contract["id"]}: wrong answer {record.answer[:60]!r}'
