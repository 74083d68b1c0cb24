"""Steps that run a short soak test with ``bench/soak.py``."""

from behave import then, when

from bench import soak


@when('the soak test runs for {seconds:d} seconds from seed {seed:d}')
def run_soak(context, seconds, seed):
    """Run the soak test, including its final phase without faults."""
    context.verdict = soak.run(seed, seconds)


@then('no guarantee was violated')
def check_verdict(context):
    """Check the verdict, and that the run had both jobs and faults."""
    assert context.verdict.jobs, context.verdict
    assert context.verdict.faults, context.verdict
    assert not context.verdict.broken, context.verdict
