"""Steps that restore a cell from snapshots between its log records."""

import dataclasses

import msgspec
from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from daisygw.cell import Cell, apply
from daisygw.contracts import (
    ConfigStored,
    JobEnqueued,
    JobSpec,
    JobState,
    RunEnd,
    RunFinished,
    RunsPlaced,
    Size,
    Step,
    StepKey,
    StepSnapshot,
)
from daisygw.links import codec
from daisygw.machines import InstanceListed
from tests.cell_records import (
    REQUEST_HOST,
    check_same_state,
    config,
    constant_fields,
    next_record,
    queue,
    record_values,
    restored,
    target_instance,
    values_by_field,
)

JOB = f'{1:016x}'
# Kinds of records; the frequent ones stand several times.
_KINDS = (
    *('job', 'target', 'place', 'place', 'end', 'end', 'end') * 2,
    *('config', 'cancel', 'purge', 'close', 'gone', 'position', 'move'),
    *('start', 'note cancel', 'purge cancels'),
)
_EVENTS = st.tuples(st.sampled_from(_KINDS), st.integers(0, 1000))
_FIRST_EVENTS = (('config', 3), ('target', 0), ('target', 1), ('job', 1))


@when(
    '{examples:d} random sequences of records are applied from seed '
    '{number:d}, to one cell that is restored from a snapshot after each '
    'record and to one that is not',
)
def apply_random_records(context, examples, number):
    """Compare all fields of both cells after each record."""
    context.values = values_by_field()

    @seed(number)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate,),
    )
    @hypothesis_given(st.lists(_EVENTS, min_size=40, max_size=120))
    def run(events):
        _compare(context.values, (*_FIRST_EVENTS, *events))

    run()


def _compare(values, events):
    cell, rebuilt = Cell(), Cell()
    for kind, number in events:
        record = next_record(cell, kind, number)
        if record is None:
            continue
        apply(cell, record)
        apply(rebuilt, record)
        rebuilt = restored(rebuilt)
        check_same_state(cell, rebuilt)
        record_values(cell, values)


@then('both cells have the same state at each point')
def check_compared(context):
    """Expect states to compare; each pair was compared when it arose."""
    assert context.values


@then('the records have changed each field of the state')
def check_fields_changed(context):
    """Expect no field that none of the records has changed."""
    assert not constant_fields(context.values), constant_fields(context.values)


@given('a cell with a gang of {count:d} tasks whose job may fail twice')
def start_gang(context, count):
    """Place a gang on the only target."""
    cell = Cell()
    step = Step(count, Size(100, 50, 0, 0), 1, gang=True)
    apply(cell, ConfigStored(config(1, (queue('/a/', attempts=2),))))
    apply(cell, InstanceListed(target_instance('t0')))
    apply(cell, JobEnqueued(JobSpec(JOB, '', (step,)), REQUEST_HOST, '/a/', 1))
    rows = tuple((index, 1, 't0@1') for index in range(count))
    apply(cell, RunsPlaced(StepKey(JOB, 0, 0), rows))
    context.cell = cell


@when(
    'both tasks of its first run fail, with a snapshot restored in between',
)
def fail_gang(context):
    """Restore the cell from its snapshot after the first failure."""
    key = StepKey(JOB, 0, 0)
    apply(context.cell, RunFinished(key, 0, 1, RunEnd.FAILED))
    context.cell = restored(context.cell)
    apply(context.cell, RunFinished(key, 1, 1, RunEnd.FAILED))


@when(
    'its queue is removed, a snapshot is restored, and its first run fails',
)
def fail_without_queue(context):
    """Store a configuration without the job's queue first."""
    apply(context.cell, ConfigStored(config(2, ())))
    context.cell = restored(context.cell)
    apply(context.cell, RunFinished(StepKey(JOB, 0, 0), 0, 1, RunEnd.FAILED))


@then('it has failed after another failed run')
def check_failed(context):
    """Place the second run, and let it fail while the queue is removed."""
    key = StepKey(JOB, 0, 0)
    apply(context.cell, RunsPlaced(key, ((0, 2, 't0@1'),)))
    apply(context.cell, RunFinished(key, 0, 2, RunEnd.FAILED))
    assert context.cell.jobs[JOB].state is JobState.FAILED


@then('the job has not failed')
def check_not_failed(context):
    """Expect the job to be shown as running."""
    assert context.cell.jobs[JOB].state is JobState.RUNNING


@when('a step snapshot without its last field is decoded')
def decode_short_row(context):
    """Remove the last value of the row that stands for the record."""
    context.record = StepSnapshot(
        StepKey(JOB, 0, 0), (), ((0, 1),), (), (), (), failed_run=1
    )
    ((tag, row),) = msgspec.msgpack.decode(codec.encode_batch([context.record]))
    encoded = msgspec.msgpack.encode([(tag, row[:-1])])
    (context.decoded,) = codec.decode_batch(encoded)


@then('the field has its default')
def check_default(context):
    """Compare the decoded record with the one that was encoded."""
    expected = dataclasses.replace(context.record, failed_run=0)
    assert context.decoded == expected, context.decoded
