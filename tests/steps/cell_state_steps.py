"""Steps about the replicated state of a cell: queues, checkpoints."""

from behave import then, when

from daisygw.cell import (
    on_advice,
    on_renewal_reply,
)
from daisygw.contracts import (
    AdviceResponse,
    JobSpec,
    JobState,
    ResultCode,
    Size,
    Step,
)
from daisygw.machines import EndedRun, RenewalReply
from standins import worker_model
from tests import cell_history, cell_world
from tests.cell_jobs import placed_runs, small_job, wait_for_call
from tests.cell_records import check_same_state
from tests.cell_world import run_for, submit


@when(
    'the queue of a job of two steps is removed while its first step runs',
)
def remove_queue(context):
    """Leave the other queue in the configuration."""
    world = context.world
    size = Size(1000, 500, 0, 0)
    steps = (Step(1, size, 1), Step(1, size, 1, after=(0,)))
    submit(world, JobSpec(f'{1:016x}', 'work', steps))
    run_for(world, 0.3)
    assert placed_runs(world)
    cell_world.configure(world, 2, queues=(cell_world.queue('/b/', 1),))


@when('the leader stays')
def keep_leader(context):
    """Change nothing."""


@when('the leader changes')
def change_once(context):
    """Start the next leader from a snapshot."""
    cell_world.fail_over(context.world)


@when('the leader changes twice')
def change_twice(context):
    """Start two more leaders, each from a snapshot."""
    cell_world.fail_over(context.world)
    run_for(context.world, 0.5)
    cell_world.fail_over(context.world)


@then('both steps of the job are completed, and its queue accepts no other')
def check_completed_without_queue(context):
    """Read the job's state, and submit another one to the queue."""
    world = context.world
    run_for(world, 12)
    (job,) = world.cell.jobs.values()
    assert job.state is JobState.COMPLETED, job.state
    submit(world, small_job(2))
    run_for(world, 0.1)
    codes = [answer.code for answer in world.responses.values()]
    assert codes[-1] == ResultCode.UNKNOWN_QUEUE, codes


@then("a replica that applied the log has the leader's state")
def check_replica(context):
    """Compare all fields of the leader's state and of a follower's."""
    check_same_state(context.world.cell, context.world.follower)


@when('a gang that saves checkpoints loses its target and another one joins')
def lose_checkpointing_gang(context):
    """Cut the target off with the gang at work, for good."""
    world = context.world
    submit(world, small_job(1, 2, estimate=4, gang=True, checkpoints=True))
    run_for(world, 1)
    assert placed_runs(world)
    check_replica(context)
    world.cut.add('w1')
    cell_world.add_worker(world, 'w3')
    run_for(world, 12)


@then('its next run starts from the checkpoint that was listed last')
def check_checkpoint(context):
    """Expect one name for both members, that of one of them."""
    (first, second) = context.world.start_checkpoints.values()
    assert first == {''}, first
    assert second in ({'1-0'}, {'1-1'}), second


@when('one member of a gang ends with a newer checkpoint than a lost one')
def end_one_member(context):
    """Cut one target off, and let the other list the end of its member."""
    world = context.world
    cell_world.add_worker(world, 'w3')
    run_for(world, 1)
    gang = small_job(1, 2, estimate=4, gang=True, checkpoints=True, spread=1)
    submit(world, gang)
    run_for(world, 1)
    world.cut.add('w3')
    target = next(
        one for one in world.cell.targets.values() if one.instance.name == 'w1'
    )
    (run,) = target.runs.values()
    end = EndedRun(1, run.step, run.index, run.number, 'broken', 'newer')
    clock = worker_model.clock_ms(world.workers['w1'], world.now)
    reply = RenewalReply(target.instance.born, clock, (), (end,))
    on_renewal_reply(world.lead, target, reply, world.now)
    cell_world.add_worker(world, 'w4')
    run_for(world, 12)


@then('its next run starts from the newer checkpoint')
def check_newer(context):
    """Expect the checkpoint for both members."""
    (_, second) = context.world.start_checkpoints.values()
    assert second == {'newer'}, second


@when(
    'the leader changes during a call, whose answer reaches the next leader',
)
def answer_earlier_leader(context):
    """Deliver an answer without approvals while the next call is open."""
    world = context.world
    submit(world, small_job(1))
    wait_for_call(world)
    earlier = list(world.lead.pending_advice)
    cell_world.fail_over(world)
    wait_for_call(world)
    for seq in earlier:
        on_advice(world.lead, AdviceResponse(seq, answered=True))
    run_for(world, 5)


def _end_while_cut_off(world, tasks):
    """Cut a target off while all its tasks end; its lease lasts longer."""
    step = {'size': Size(10, 10, 0, 0), 'estimate': 1}
    submit(world, small_job(1, tasks, **step))
    run_for(world, 0.4)
    assert len(placed_runs(world)) == tasks
    world.cut.add('w1')
    run_for(world, 3.5)
    waiting = len(world.workers['w1'].ends)
    assert waiting > worker_model.ENDS_PAGE, waiting


@when('it is cut off while {tasks:d} small tasks end there')
def end_many(context, tasks):
    """Let the target list its ends after the cut."""
    _end_while_cut_off(context.world, tasks)
    context.world.cut.clear()
    run_for(context.world, 12)


@when(
    'it is cut off while {tasks:d} small tasks end there, and the leader '
    'changes'
)
def end_many_and_fail_over(context, tasks):
    """Let the next leader read the target's lists."""
    _end_while_cut_off(context.world, tasks)
    cell_world.fail_over(context.world)
    context.world.cut.clear()
    run_for(context.world, 12)


@then('no task started again after it was done, and the job has ended')
def check_no_start_after_done(context):
    """Expect each task to have been done once."""
    world = context.world
    cell_history.check_history(world)
    again = [
        rows
        for rows in cell_history.spans(world).values()
        if [span.how for span in rows].count('done') > 1
    ]
    assert not again, (len(again), again[:1])
    assert not cell_history.unfinished_jobs(world)
