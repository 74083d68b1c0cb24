"""Watching the targets: announcements, leases and what they prove."""

from daisygw.contracts import (
    Job,
    ResultCode,
    TaskKey,
    TaskState,
)
from daisygw.machines import (
    Announcement,
    AnnouncementAccepted,
    RunningAttempt,
    TargetDropped,
    TargetListed,
    TargetQuarantined,
    Worker,
)
from daisygw.zones._leader import (
    DomainLeader,
    Observation,
    Ordered,
    record,
    send_message,
)
from daisygw.zones._orders import give_order, give_stop
from daisygw.zones._settle import settle

# Times that an order is sent again before its lease decides.
_MOST_RESENDS = 2
# Announcements that a target may miss before it gets nothing new.
_SILENT_BEATS = 2.5


def on_announcement(
    lead: DomainLeader,
    announcement: Announcement,
    entry: str,
) -> None:
    """Take a target's announcement and acknowledge it through ``entry``."""
    observation = _sighting(lead, announcement)
    if observation is None or announcement.number <= observation.number:
        return
    observation.number = announcement.number
    observation.seen = lead.now
    policy = lead.policy
    observation.lease_end = lead.now + policy.lease + policy.lease_margin
    lead.replicated.workers.touched.add(announcement.spec.name)
    for ended in announcement.ended:
        settle(lead, ended.key, ended.attempt, ended.code, ended.run)
    _check_running(lead, announcement)
    _probe(lead, announcement.spec.name, observation)
    taken = AnnouncementAccepted(
        announcement.spec.name,
        announcement.spec.incarnation,
        announcement.number,
        policy.lease,
        policy.order_age,
        policy.announce_every,
    )
    send_message(lead, entry, taken)


def _sighting(
    lead: DomainLeader,
    announcement: Announcement,
) -> Observation | None:
    spec = announcement.spec
    known = lead.observations.get(spec.name)
    if known and spec.incarnation in known.past:
        return None
    worker = lead.replicated.workers.by_name.get(spec.name)
    if worker and worker.spec.incarnation != spec.incarnation:
        lose_attempts(lead, worker)
    if known is None or known.incarnation != spec.incarnation:
        fresh = Observation(spec.incarnation, lead.now)
        if known:
            fresh.past = {*known.past, known.incarnation}
        lead.observations[spec.name] = fresh
        known = fresh
    if worker is None or worker.spec != spec:
        record(lead, TargetListed(spec))
    return known


def lose_attempts(lead: DomainLeader, worker: Worker) -> None:
    """Close every attempt of a worker whose process or lease is over."""
    for key in list(worker.held):
        task = lead.replicated.job_registry.jobs[key.job].tasks[key.index]
        settle(lead, key, task.attempt, ResultCode.WORKER_LOST)


def _check_running(lead: DomainLeader, announcement: Announcement) -> None:
    name = announcement.spec.name
    worker = lead.replicated.workers.by_name[name]
    running = {attempt.key: attempt for attempt in announcement.running}
    for attempt in announcement.running:
        _check_known(lead, attempt, worker)
    for key in list(worker.held):
        if key not in running:
            _check_absent(lead, key, announcement)


def _check_known(
    lead: DomainLeader,
    attempt: RunningAttempt,
    worker: Worker,
) -> None:
    ordered = lead.orders.get(attempt.key)
    known = ordered is not None and ordered.attempt == attempt.attempt
    if known and attempt.key in worker.held:
        ordered.running = True
        if ordered.stopping:
            _stop(lead, attempt, worker, ordered.stopping)
        return
    _stop(lead, attempt, worker, ResultCode.CANCELLED_RUNNING)


def _stop(
    lead: DomainLeader,
    attempt: RunningAttempt,
    worker: Worker,
    code: int,
) -> None:
    name = worker.spec.name
    give_stop(lead, attempt.key, attempt.attempt, name, code)


def _check_absent(
    lead: DomainLeader,
    key: TaskKey,
    announcement: Announcement,
) -> None:
    """Decide on a held attempt that its target does not list.

    An order is refused once it is older than ``order_age``.  An
    announcement made after one that was acknowledged later than that proves
    that an attempt missing from it never starts.
    """
    ordered = lead.orders[key]
    if ordered.running:
        settle(lead, key, ordered.attempt, ResultCode.WORKER_LOST)
        return
    if lead.now < ordered.at + lead.policy.order_age:
        _resend(lead, key, ordered)
    elif ordered.proof == 0:
        ordered.proof = announcement.number
    elif announcement.heard >= ordered.proof:
        settle(lead, key, ordered.attempt, ResultCode.NOT_STARTED)


def _resend(lead: DomainLeader, key: TaskKey, ordered: Ordered) -> None:
    waited = lead.now - ordered.at
    patient = waited < lead.policy.announce_every
    if patient or ordered.resent >= _MOST_RESENDS:
        return
    ordered.resent += 1
    give_order(lead, lead.replicated.job_registry.jobs[key.job], key)


def _probe(lead: DomainLeader, name: str, observation: Observation) -> None:
    """Take a target back that was set aside: one more failure closes it."""
    worker = lead.replicated.workers.by_name[name]
    if worker.aside and lead.now >= observation.probe_due:
        observation.failures = set(list(observation.failures)[:-1])
        record(lead, TargetQuarantined(name, aside=False))
        observation.probe_due = float('inf')


def sweep_leases(lead: DomainLeader) -> None:
    """Drop the targets whose lease is over; avoid those that fell silent."""
    silence = lead.policy.announce_every * _SILENT_BEATS
    for name, observation in list(lead.observations.items()):
        worker = lead.replicated.workers.by_name.get(name)
        if worker is None:
            continue
        if lead.now >= observation.lease_end:
            lose_attempts(lead, worker)
            record(lead, TargetDropped(name, worker.spec.incarnation))
            observation.number = 0
        elif lead.now - observation.seen > silence:
            observation.avoided_at = lead.now + lead.policy.announce_every
            lead.replicated.workers.touched.add(name)


def rebuild_orders(lead: DomainLeader) -> None:
    """As a new leader, take every recorded lease as maybe running."""
    policy = lead.policy
    lease_end = lead.now + policy.lease + policy.lease_margin
    for name, worker in lead.replicated.workers.by_name.items():
        incarnation = worker.spec.incarnation
        lead.observations[name] = Observation(incarnation, lease_end)
    for job in lead.replicated.job_registry.jobs.values():
        _adopt_job(lead, job)


def _adopt_job(lead: DomainLeader, job: Job) -> None:
    for task in job.tasks:
        if task.state is TaskState.LEASED:
            ordered = Ordered(task.attempt, lead.now)
            ordered.inherited = True
            lead.orders[TaskKey(job.contract.id, task.index)] = ordered
