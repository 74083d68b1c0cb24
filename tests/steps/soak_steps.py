"""Steps that run a short soak; the tool itself is bench/soak.py."""

from behave import then, when

from bench import soak


@when('the processes are soaked for {seconds:d} seconds from seed {seed:d}')
def play(context, seconds, seed):
    """Play it to its calm end."""
    context.verdict = soak.run(seed, seconds)


@then('nothing was broken')
def check(context):
    """Look at the verdict; something must have been tried."""
    assert context.verdict.jobs, context.verdict
    assert context.verdict.faults, context.verdict
    assert not context.verdict.broken, context.verdict
