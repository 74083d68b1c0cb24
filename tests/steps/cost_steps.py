"""Steps about the estimate of what a delay costs callers."""

from dataclasses import replace

from behave import given, then
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from daisygw.cell._cost import Stake, delay_cost, job_value, rank

_TIMES = st.floats(0, 1e6)
_WORK = st.floats(1e-6, 1e3)
_ANY = st.floats()
_TOLERANCE = 1e-9


def _stakes(work=_WORK):
    return st.builds(
        lambda value, own, due, more: Stake(value, own, due, due + more),
        _WORK,
        work,
        _TIMES,
        st.floats(0, 1e3),
    )


def _check(test):
    settings(deadline=None, database=None)(test)()


@then(
    'for any stake the cost is higher with less slack until a limit is passed'
)
def check_slack(context):
    """Compare the cost before and after some time without a passed limit."""

    @drawn(_stakes(), st.floats(0, 30), st.floats(0, 30))
    def check(stake, left, waited):
        for limit in (stake.due, stake.worthless_at):
            now = limit - left
            if limit == stake.worthless_at and now - waited <= stake.due:
                continue
            earlier = delay_cost(stake, now - waited)
            assert earlier <= delay_cost(stake, now) * (1 + _TOLERANCE)

    _check(check)


@then('for any stake the cost is lower with more work')
def check_work(context):
    """Compare the ranks of two steps that differ in their work."""

    @drawn(_stakes(), st.floats(1, 100), _TIMES)
    def check(stake, factor, now):
        larger = replace(stake, work=stake.work * factor)
        assert rank(larger, now) <= rank(stake, now)

    _check(check)


@then('for any job the cost is lower at a lower priority')
def check_priority(context):
    """Compare the ranks of a step whose job has one of two priorities."""

    @drawn(_stakes(), st.integers(0, 99), st.integers(0, 99))
    def check(stake, priority, lower):
        high, low = (
            replace(stake, value=job_value(stake.work, level))
            for level in (priority, priority + lower)
        )
        assert rank(low, stake.due) <= rank(high, stake.due)

    _check(check)


@then('for any figures the cost is a number that is 0 or above')
def check_any(context):
    """Guards against a turn that is stopped by an odd estimate."""

    @drawn(st.lists(_ANY, min_size=6, max_size=6), st.integers())
    def check(figures, priority):
        work, *times, now, horizon = figures
        value = job_value(work, priority)
        stake = Stake(value, work, *times[:2])
        assert delay_cost(stake, now, horizon) >= 0

    _check(check)


@given(
    'a stake of urgent work that is 0.5 s late, and one of patient work that '
    'has 11 s left'
)
def late_urgent_work(context):
    """The urgent and the delay-tolerant kind of job of the load lakeshore."""
    context.urgent = Stake(job_value(1, 0), 1, 0, 3.5)
    context.patient = Stake(job_value(1, 2), 1, 11.5, 30)


@then('the cost of delaying the urgent work is at least 5 times higher')
def check_late_urgent(context):
    """Guards against urgent work that starves once it is late."""
    now = 0.5
    patient = delay_cost(context.patient, now)
    assert delay_cost(context.urgent, now) >= 5 * patient
