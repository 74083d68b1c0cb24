"""Checks of a soak run, on what its workers and callers recorded.

Rows of the workers' history are described at ``platform_cell.run_history``.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import accumulate, groupby, pairwise
from operator import itemgetter
from typing import TypeAlias

from standins.platform_workers import CAPACITY, approved_workers
from standins.soak_callers import CANCEL_ACKS, Call

# CPU of a worker, thousandths.
_WORKER_CPU = CAPACITY[0]
# CPU of a task whose job no caller has recorded, thousandths.
_UNKNOWN_TASK_CPU = 1000
# A request may be cut off this soon after its last byte, s.
_LOSS_SLACK_S = 0.2
# A fault excuses requests that are sent this long after it was undone, s.
_CONTACT_S = 3.0
# A job must be visible this long after it was accepted, s.
_VISIBLE_S = 3.0
# Longest time that a job may stand still beside free capacity, s.
_MAX_STALL_S = 3.0
# It does not count until there were no faults for this long, s.
_SETTLING_TIME_S = 4.0
# Interval at which jobs are checked for it, s.
_SAMPLE_INTERVAL_S = 0.1
# A job may wait while more than this share of all capacity is in use.
_BUSY_SHARE = 0.5
# Free capacity is this multiple of what a step needs.
_ROOM_FACTOR = 2
# No task of a job starts this long after its cancel was acknowledged, s, and
# while there are faults this long: an order may be held up for some seconds.
_CANCEL_S = 3.0
_FAULTY_CANCEL_S = 12.0
# Its tasks have ended this much later, s.
_STOP_S = 0.4
_HTTP_OK = 200
_HTTP_UNAUTHORIZED = 401
_HTTP_GONE = 410
_NEVER = float('inf')
# Begin and end of something, s.
Span: TypeAlias = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Job:
    """A submitted job; ``accepted_at`` (s) is infinite unless accepted.

    ``steps`` has the number of tasks, the CPU of a task and whether it is a
    gang, for each step; a step runs after all earlier ones.
    """

    name: str
    accepted_at: float
    steps: tuple[tuple[int, int, bool], ...]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from ``began_at`` until it was undone at ``ended_at`` (s).

    ``host`` is empty where it was not of one host.  ``planned`` tells whether
    the process had been told to stop.
    """

    host: str
    began_at: float
    ended_at: float
    planned: bool


@dataclass(frozen=True, slots=True)
class _Moment:
    """What runs at a time ``at`` (s): jobs, and CPU in use by worker.

    ``calm`` tells whether there were no faults for a while.
    """

    at: float
    calm: bool
    jobs: frozenset[str]
    used: Mapping[str, int]


def jobs_of(calls: Iterable[Call]) -> dict[str, Job]:
    """Return the jobs that callers submitted, by name."""
    jobs = {}
    for call in calls:
        if call.method == 'POST':
            known = jobs.get(call.job)
            accepted_at = call.ended_at if call.status == _HTTP_OK else _NEVER
            if known:
                accepted_at = min(accepted_at, known.accepted_at)
            jobs[call.job] = Job(call.job, accepted_at, call.steps)
    return jobs


def accepted_jobs(jobs: Mapping[str, Job]) -> list[str]:
    """Return the names of the accepted jobs."""
    return [name for name, job in jobs.items() if job.accepted_at < _NEVER]


def cancelled_jobs(calls: Iterable[Call]) -> dict[str, float]:
    """Return when callers first sent a cancel (s), by job."""
    sent_at: dict[str, float] = {}
    for call in calls:
        if call.method == 'DELETE':
            sent_at[call.job] = min(call.sent_at, sent_at.get(call.job, _NEVER))
    return sent_at


def _first_acks(
    calls: Iterable[Call], statuses: frozenset[int]
) -> dict[str, float]:
    """Return when a cancel was answered first with one of these (s), by job."""
    acks: dict[str, float] = {}
    for call in calls:
        if call.method == 'DELETE' and call.status in statuses:
            acks[call.job] = min(call.ended_at, acks.get(call.job, _NEVER))
    return acks


def overtaken_runs(rows, calls: Iterable[Call]) -> Iterator[str]:
    """Yield runs of jobs that were cancelled before they were known."""
    acks = _first_acks(calls, frozenset({_HTTP_GONE}))
    for row in rows:
        ack = acks.get(_job_of(row[1]), _NEVER)
        if row[4] > ack:
            yield f'began {row[4] - ack} s after its early cancel: {row}'


def uncancelled_runs(
    rows, calls: Iterable[Call], calm_since: float
) -> Iterator[str]:
    """Yield runs of jobs that began, or went on, after a cancel.

    There are no faults from ``calm_since`` (s) on.
    """
    acks = _first_acks(calls, CANCEL_ACKS)
    calm_from = calm_since + _CONTACT_S
    for row in rows:
        ack = acks.get(_job_of(row[1]), _NEVER)
        last_start = max(ack, calm_from) + _CANCEL_S
        if row[4] > min(ack + _FAULTY_CANCEL_S, last_start):
            yield f'began {row[4] - ack} s after its cancel: {row}'
        elif (row[5] or _NEVER) > last_start + _STOP_S:
            yield f'still at work {last_start - ack} s after its cancel: {row}'


def lost_jobs(calls: list[Call], jobs: Mapping[str, Job]) -> Iterator[str]:
    """Yield accepted jobs that were shown as unknown, failed or cancelled.

    No task fails in a soak run, and some jobs are cancelled.
    """
    cancels = cancelled_jobs(calls)
    shown = [
        call
        for call in calls
        if call.method == 'GET'
        and call.job in jobs
        and call.ended_at <= cancels.get(call.job, _NEVER)
    ]
    for call in shown:
        job = jobs[call.job]
        visible = call.sent_at >= job.accepted_at + _VISIBLE_S
        if call.status == _HTTP_GONE and visible:
            yield f'unknown: {job} {call}'
        if call.state in {'failed', 'cancelled'}:
            yield f'{call.state} without cause: {job} {call}'


def jobs_begun_early(rows, calls: Iterable[Call]) -> Iterator[str]:
    """Yield calls that showed a job as begun before a worker had begun it."""
    began_at: dict[str, float] = {}
    for row in rows:
        job = _job_of(row[1])
        began_at[job] = min(row[4], began_at.get(job, _NEVER))
    for call in calls:
        began = began_at.get(call.job, _NEVER)
        if call.state == 'in_progress' and call.ended_at < began:
            yield f'shown as begun: {call}'


def refused_keys(calls: Iterable[Call]) -> Iterator[str]:
    """Yield calls whose key was refused: all configurations have it."""
    for call in calls:
        if call.status == _HTTP_UNAUTHORIZED:
            yield f'key refused: {call}'


def cut_requests(calls: Iterable[Call], faults: list[Fault]) -> Iterator[str]:
    """Yield requests whose connection ended without a complete response.

    A fault of the entry excuses it unless that was told to stop; while it is
    stopping, so does any other fault.
    """
    for call in calls:
        cut_off = not call.status and not call.timed_out
        late = call.ended_at - call.sent_at > _LOSS_SLACK_S
        if cut_off and late and not _is_excused(call, faults):
            yield f'cut off: {call}'


def _is_excused(call: Call, faults: list[Fault]) -> bool:
    near = [
        fault
        for fault in faults
        if fault.began_at <= call.ended_at
        and call.sent_at <= fault.ended_at + _CONTACT_S
    ]
    stopping = any(fault.planned and fault.host == call.entry for fault in near)
    return any(
        not fault.planned and (stopping or fault.host == call.entry)
        for fault in near
    )


def _job_of(task: str) -> str:
    return task.partition('.')[0]


def _step_of(task: str) -> int:
    return int(task.split('.')[2])


def _moments(
    rows, jobs: Mapping[str, Job], faults: list[Fault], until: float
) -> Iterator[_Moment]:
    """Yield moments from the end of the first fault to ``until`` (s)."""
    since = faults[0].ended_at
    count = int((until - since) / _SAMPLE_INTERVAL_S)
    for number in range(count):
        at = since + number * _SAMPLE_INTERVAL_S
        calm = not any(
            fault.began_at <= at < fault.ended_at + _SETTLING_TIME_S
            for fault in faults
        )
        running = [row for row in rows if _is_running(row, at)]
        used: dict[str, int] = defaultdict(int)
        for worker, task, *_ in running:
            used[worker] += _task_cpu(jobs, task)
        names = frozenset(_job_of(task) for _, task, *_ in running)
        yield _Moment(at, calm, names, used)


def _is_running(row, at: float) -> bool:
    started_at, ended = row[4:6]
    return started_at <= at and (ended is None or at < ended)


def _task_cpu(jobs: Mapping[str, Job], task: str) -> int:
    job = jobs.get(_job_of(task))
    return job.steps[_step_of(task)][1] if job else _UNKNOWN_TASK_CPU


def _step_ends(rows, job: Job) -> list[float]:
    """Return when each step was done (s; infinite: not yet).

    The end of one task of a gang stands for all of them.
    """
    done: dict[int, dict[str, float]] = defaultdict(dict)
    for _, task, _, how, _, ended, _ in rows:
        if _job_of(task) == job.name and how == 'done':
            ends = done[_step_of(task)]
            ends[task] = min(ended, ends.get(task, _NEVER))
    return [
        _nth_end(done[step], 1 if gang else tasks)
        for step, (tasks, _, gang) in enumerate(job.steps)
    ]


def _nth_end(ends: Mapping[str, float], number: int) -> float:
    if len(ends) < number:
        return _NEVER
    return sorted(ends.values())[number - 1]


def stalled_jobs(
    rows,
    jobs: Mapping[str, Job],
    workers: list[str],
    faults: list[Fault],
    until: float,
) -> Iterator[str]:
    """Yield accepted jobs that stood still beside free capacity.

    They are checked from the end of the first fault to ``until`` (s).
    """
    moments = list(_moments(rows, jobs, faults, until))
    for job in jobs.values():
        step_ends = _step_ends(rows, job)
        idle = [
            (moment.at, _could_run(job, step_ends, workers, moment))
            for moment in moments
        ]
        for began_at, ended_at in _idle_spans(idle):
            if ended_at - began_at > _MAX_STALL_S:
                yield f'stands still from {began_at} to {ended_at}: {job}'


def _idle_spans(idle: list[tuple[float, bool]]) -> Iterator[Span]:
    """Yield the spans of consecutive moments (s) that are true."""
    for is_idle, group in groupby(idle, key=itemgetter(1)):
        times = [at for at, _ in group]
        if is_idle:
            yield times[0], times[-1]


def _could_run(
    job: Job, step_ends: list[float], workers: list[str], moment: _Moment
) -> bool:
    """Tell whether nothing of a job runs although there is capacity."""
    waiting = [
        step for step, ended in enumerate(step_ends) if moment.at < ended
    ]
    if not moment.calm or not waiting or job.name in moment.jobs:
        return False
    if moment.at < job.accepted_at:
        return False
    tasks, cpu, _ = job.steps[waiting[0]]
    approved = approved_workers(f'{job.name}.0.{waiting[0]}', workers)
    room = sum(
        (_WORKER_CPU - moment.used.get(name, 0)) // cpu for name in approved
    )
    in_use = sum(moment.used.values())
    busy = in_use > _BUSY_SHARE * len(workers) * _WORKER_CPU
    return not busy and room >= _ROOM_FACTOR * tasks


def _runs_by_task(rows) -> dict[str, list[tuple]]:
    """Return each task's runs in the order of their starts.

    A run is (started_at, ended, how, noted), times in s; ``noted`` tells
    whether its end was acknowledged under the worker's lease.
    """
    runs = defaultdict(list)
    for _, task, _, how, started_at, ended, noted in rows:
        runs[task].append((started_at, ended, how, noted))
    return {task: sorted(spans) for task, spans in runs.items()}


def repeats(rows) -> list[tuple[str, tuple, tuple]]:
    """Return consecutive runs of a task: (task, earlier run, later run)."""
    return [
        (task, earlier, later)
        for task, spans in _runs_by_task(rows).items()
        for earlier, later in pairwise(spans)
    ]


def repeated_runs(rows) -> Iterator[str]:
    """Yield tasks that ran twice at the same time, or again after done.

    A task counts as done once the leader acknowledged its end under the
    worker's lease.  If the lease lapses before that, the leader may start
    the task again.
    """
    for task, earlier, later in repeats(rows):
        if earlier[1] is None or earlier[1] > later[0]:
            yield f'ran concurrently: {task} {earlier} {later}'
        elif earlier[2] == 'done' and earlier[3]:
            yield f'ran again after done: {task} {earlier} {later}'


def overcommitted_workers(rows, jobs: Mapping[str, Job]) -> Iterator[str]:
    """Yield workers whose running tasks exceeded their CPU capacity."""
    changes = defaultdict(list)
    for worker, task, _, _, started_at, ended, _ in rows:
        changes[worker].append((started_at, _task_cpu(jobs, task)))
        if ended is not None:
            changes[worker].append((ended, -_task_cpu(jobs, task)))
    for worker, steps in changes.items():
        used = accumulate(amount for _, amount in sorted(steps))
        if max(used) > _WORKER_CPU:
            yield f'over capacity: {worker}'
