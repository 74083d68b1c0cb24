"""behave hooks: fixtures by tag, known failures and the closing count."""

import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from behave import fixture, use_fixture
from behave.model import Scenario, Status

from standins.platform_cell import running_cell
from tests.utils import known_failures, small_cell

# How much of the end of an error message is printed with a failure.
_ERROR_TAIL_CHARS = 2000


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


@fixture
def restarting_workers(context: Any) -> Iterator[Any]:
    """Run a cell as the platform does, of 12 workers, for a scenario.

    Its workers accept leases that are longer than those that are granted.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cell(Path(folder), 12, max_lease_s=10) as cell,
    ):
        context.cell = cell
        yield cell


@fixture
def slow_stops(context: Any) -> Iterator[Any]:
    """Run a cell as the platform does, of 3 workers, for a scenario.

    Its workers take nearly as long for a stop as the platform allows.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cell(Path(folder), 3, max_lease_s=10, stop_s=0.35) as cell,
    ):
        context.cell = cell
        yield cell


@fixture
def limited_cell(context: Any) -> Iterator[Any]:
    """Run a cell as the platform does, whose hosts are small."""
    settings = ('limits.memoryMb=128', 'limits.maxFds=512')
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cell(Path(folder), settings=settings) as cell,
    ):
        context.cell = cell
        yield cell


def before_all(context: Any) -> None:
    """Reset the counts and read the list of known failures."""
    context.counts = Counter()
    context.failures = []
    context.known_failures = known_failures()


def before_tag(context: Any, tag: str) -> None:
    """Set up the fixture that a tag of a feature or scenario names."""
    if tag == 'fixture.one_cell':
        use_fixture(one_cell, context)
    elif tag == 'fixture.platform_cell':
        use_fixture(platform_cell, context)
    elif tag == 'fixture.restarting_workers':
        use_fixture(restarting_workers, context)
    elif tag == 'fixture.slow_stops':
        use_fixture(slow_stops, context)
    elif tag == 'fixture.limited_cell':
        use_fixture(limited_cell, context)


def before_scenario(context: Any, scenario: Scenario) -> None:
    """Skip a scenario that is listed in KNOWN-RED.txt, and print it."""
    symptom = context.known_failures.get(scenario.name.strip())
    if symptom is not None:
        line = f'KNOWN RED, passed over: {scenario.name}: {symptom}'
        sys.__stdout__.write(f'{line}\n')
        scenario.skip('known red')


def after_scenario(context: Any, scenario: Scenario) -> None:
    """Count a scenario by its result."""
    if scenario.status is Status.skipped:
        context.counts['skipped'] += 1
    elif scenario.status is Status.passed:
        context.counts['passed'] += 1
    else:
        context.counts['failed'] += 1
        context.failures.append(_failure(scenario))


def _failure(scenario: Scenario) -> str:
    """Return where a scenario failed and the end of each step's error."""
    report = [f'FAILED {scenario.location} {scenario.name}']
    for step in scenario.steps:
        if step.error_message:
            report.append(
                f'{step.name}: {step.error_message[-_ERROR_TAIL_CHARS:]}'
            )
    return '\n'.join(report)


def after_all(context: Any) -> None:
    """Print the closing line that CI reads."""
    counts = context.counts
    for failure in context.failures:
        sys.__stdout__.write(f'\n{failure}\n')
    line = f'{counts["passed"]} passed, {counts["failed"]} failed'
    if counts['skipped']:
        line = f'{line}, {counts["skipped"]} skipped'
    sys.__stdout__.write(f'\n{line}\n')
    sys.__stdout__.flush()
