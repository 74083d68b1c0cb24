"""Targets as the leader sees them: announcements, leases, lost attempts."""

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
from daisygw.zones._attempts import close_attempt
from daisygw.zones._leader import (
    DomainLeader,
    Observation,
    OutstandingOrder,
    record,
    send_to_entry,
)
from daisygw.zones._orders import send_order, send_stop

# How often an order is sent again while its target does not list the attempt;
# after that, only the age of the order or the lease decides.
_MAX_RESENDS = 2
# After this many announcement intervals without an announcement, a target is
# given no new tasks.
_MAX_SILENT_INTERVALS = 2.5


def on_announcement(
    lead: DomainLeader,
    announcement: Announcement,
    entry: str,
) -> None:
    """Handle a target's announcement; acknowledge it through ``entry``.

    Ignores announcements that are not newer than the last one, and those of
    another incarnation than the listed one while that may be running tasks.
    """
    observation = _observe(lead, announcement)
    if observation is None or announcement.number <= observation.number:
        return
    observation.number = announcement.number
    observation.last_seen = lead.now
    policy = lead.policy
    observation.lease_end = lead.now + policy.lease + policy.lease_margin
    lead.replicated.workers.touched.add(announcement.spec.name)
    for ended in announcement.ended:
        close_attempt(lead, ended.key, ended.attempt, ended.code, ended.run)
    _check_running(lead, announcement)
    _end_quarantine(lead, announcement.spec.name, observation)
    acknowledgement = AnnouncementAccepted(
        announcement.spec.name,
        announcement.spec.incarnation,
        announcement.number,
        policy.lease,
        policy.order_age,
        policy.announce_every,
    )
    send_to_entry(lead, entry, acknowledgement)


def _observe(
    lead: DomainLeader,
    announcement: Announcement,
) -> Observation | None:
    spec = announcement.spec
    observation = lead.observations.get(spec.name)
    worker = lead.replicated.workers.by_name.get(spec.name)
    if (
        observation
        and worker
        and worker.spec.incarnation != spec.incarnation
        and not _is_idle(lead, worker, observation)
    ):
        observation.contested_at = lead.now
        observation.avoided_until = lead.now + lead.policy.announce_every
        lead.replicated.workers.touched.add(spec.name)
        return None
    if observation is None or observation.incarnation != spec.incarnation:
        observation = Observation(spec.incarnation, lead.now)
        lead.observations[spec.name] = observation
    if worker is None or worker.spec != spec:
        record(lead, TargetListed(spec))
    return observation


def _silence(lead: DomainLeader) -> float:
    return lead.policy.announce_every * _MAX_SILENT_INTERVALS


def _is_idle(
    lead: DomainLeader, worker: Worker, observation: Observation
) -> bool:
    """Tell whether a worker is silent and can run no attempt any more.

    An announcement of another incarnation is no proof of that: it may be late,
    or come from another host while this one is cut off.
    """
    silent = lead.now - observation.last_seen > _silence(lead)
    return silent and not worker.held


def close_lost_attempts(lead: DomainLeader, worker: Worker) -> None:
    """Close the attempts of a worker whose lease ended."""
    for key in list(worker.held):
        task = lead.replicated.job_registry.jobs[key.job].tasks[key.index]
        close_attempt(lead, key, task.attempt, ResultCode.WORKER_LOST)


def _check_running(lead: DomainLeader, announcement: Announcement) -> None:
    name = announcement.spec.name
    worker = lead.replicated.workers.by_name[name]
    running = {attempt.key: attempt for attempt in announcement.running}
    for attempt in announcement.running:
        _check_listed(lead, attempt, worker)
    for key in list(worker.held):
        if key not in running:
            _check_unlisted(lead, key, announcement)


def _check_listed(
    lead: DomainLeader,
    attempt: RunningAttempt,
    worker: Worker,
) -> None:
    outstanding = lead.orders.get(attempt.key)
    is_current = (
        outstanding is not None and outstanding.attempt == attempt.attempt
    )
    if is_current and attempt.key in worker.held:
        outstanding.running = True
        if outstanding.stopping:
            _stop(lead, attempt, worker, outstanding.stopping)
        return
    _stop(lead, attempt, worker, ResultCode.CANCELLED_RUNNING)


def _stop(
    lead: DomainLeader,
    attempt: RunningAttempt,
    worker: Worker,
    code: int,
) -> None:
    name = worker.spec.name
    send_stop(lead, attempt.key, attempt.attempt, name, code)


def _check_unlisted(
    lead: DomainLeader,
    key: TaskKey,
    announcement: Announcement,
) -> None:
    """Handle an attempt that is placed on a target but not listed by it.

    An attempt that was listed before is lost.  Otherwise the order may still
    be on its way; it is sent again, ``_MAX_RESENDS`` times at most.  Once it
    is ``order_age`` old, the target refuses it.  ``absent_since`` records the
    first announcement after that which lacks the attempt; once the target has
    received the acknowledgement of that announcement, the attempt can never
    start and is closed.
    """
    outstanding = lead.orders[key]
    if outstanding.running:
        close_attempt(lead, key, outstanding.attempt, ResultCode.WORKER_LOST)
        return
    if lead.now < outstanding.at + lead.policy.order_age:
        _resend(lead, key, outstanding)
    elif outstanding.absent_since == 0:
        outstanding.absent_since = announcement.number
    elif announcement.heard >= outstanding.absent_since:
        close_attempt(lead, key, outstanding.attempt, ResultCode.NOT_STARTED)


def _resend(
    lead: DomainLeader, key: TaskKey, outstanding: OutstandingOrder
) -> None:
    age = lead.now - outstanding.at
    sent_recently = age < lead.policy.announce_every
    if sent_recently or outstanding.resends >= _MAX_RESENDS:
        return
    outstanding.resends += 1
    send_order(lead, lead.replicated.job_registry.jobs[key.job], key)


def _end_quarantine(
    lead: DomainLeader, name: str, observation: Observation
) -> None:
    """End a target's quarantine when it is due for a trial.

    It keeps all but one of the failures counted against it, so that one more
    failure puts it back into quarantine.
    """
    worker = lead.replicated.workers.by_name[name]
    if worker.aside and lead.now >= observation.probe_due:
        observation.failures = set(list(observation.failures)[:-1])
        record(lead, TargetQuarantined(name, aside=False))
        observation.probe_due = float('inf')


def expire_leases(lead: DomainLeader) -> None:
    """Drop targets whose lease has ended; avoid those that went silent.

    One whose name another incarnation announces stays listed, so that what an
    operator has set for it holds for the next incarnation.
    """
    silence = _silence(lead)
    for name, observation in list(lead.observations.items()):
        worker = lead.replicated.workers.by_name.get(name)
        if worker is None:
            continue
        if lead.now >= observation.lease_end:
            close_lost_attempts(lead, worker)
            observation.number = 0
            if lead.now - observation.contested_at > silence:
                record(lead, TargetDropped(name, worker.spec.incarnation))
            lead.replicated.workers.touched.add(name)
        elif lead.now - observation.last_seen > silence:
            observation.avoided_until = lead.now + lead.policy.announce_every
            lead.replicated.workers.touched.add(name)


def adopt_leases(lead: DomainLeader) -> None:
    """As a new leader, assume that every leased task may be running."""
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
            outstanding = OutstandingOrder(task.attempt, lead.now)
            outstanding.sender_unknown = True
            lead.orders[TaskKey(job.contract.id, task.index)] = outstanding
