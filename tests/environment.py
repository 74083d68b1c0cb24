"""What behave runs around the scenarios: fixtures, known red, the count."""

import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from behave import fixture, use_fixture
from behave.model import Scenario, Status

from standins.platform_cell import running_cell
from tests.utils import known_red, small_cell

# What is repeated of a failure before the count (characters).
_TOLD = 2000


@fixture
def one_cell(context: Any) -> Iterator[Any]:
    """Run a cell of one failure domain for a feature."""
    with small_cell() as cell:
        context.cell = cell
        yield cell


@fixture
def platform_cell(context: Any) -> Iterator[Any]:
    """Run a cell as the platform does, for a feature."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cell(Path(folder)) as cell,
    ):
        context.cell = cell
        yield cell


def before_all(context: Any) -> None:
    """Begin the count."""
    context.counted = Counter()
    context.failures = []
    context.red = known_red()


def before_tag(context: Any, tag: str) -> None:
    """Give a feature or scenario the fixture that its tag names."""
    if tag == 'fixture.one_cell':
        use_fixture(one_cell, context)
    elif tag == 'fixture.platform_cell':
        use_fixture(platform_cell, context)


def before_scenario(context: Any, scenario: Scenario) -> None:
    """Pass over what is known to be red, and print it."""
    seen = context.red.get(scenario.name)
    if seen is not None:
        line = f'KNOWN RED, passed over: {scenario.name}: {seen}'
        sys.__stdout__.write(f'{line}\n')
        scenario.skip('known red')


def after_scenario(context: Any, scenario: Scenario) -> None:
    """Count a scenario."""
    if scenario.status is Status.skipped:
        context.counted['skipped'] += 1
    elif scenario.status is Status.passed:
        context.counted['passed'] += 1
    else:
        context.counted['failed'] += 1
        context.failures.append(_failure(scenario))


def _failure(scenario: Scenario) -> str:
    """Return where a scenario failed, and the end of what was said."""
    told = [f'FAILED {scenario.location} {scenario.name}']
    for step in scenario.steps:
        if step.error_message:
            told.append(f'{step.name}: {step.error_message[-_TOLD:]}')
    return '\n'.join(told)


def after_all(context: Any) -> None:
    """Print the closing line that CI reads."""
    counted = context.counted
    for failure in context.failures:
        sys.__stdout__.write(f'\n{failure}\n')
    line = f'{counted["passed"]} passed, {counted["failed"]} failed'
    if counted['skipped']:
        line = f'{line}, {counted["skipped"]} skipped'
    sys.__stdout__.write(f'\n{line}\n')
    sys.__stdout__.flush()
