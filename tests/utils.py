"""Shared test helpers: cells, the command line, HTTP calls, target counts."""

import asyncio
import json
import subprocess  # noqa: S404  the real command line, as a user runs it
import sys
import tempfile
from collections import Counter
from collections.abc import Coroutine, Generator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from standins.cell import (
    CellPlan,
    RunningCell,
    call,
    domains_of,
    fetch_json,
    plan_cell,
    running_cell,
    start_targets,
    wait_until_serving,
)

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
_START_TIMEOUT_S = 60
_COMMAND_TIMEOUT_S = 60


def known_failures() -> dict[str, str]:
    """Return the known failures: scenario name to its symptom."""
    if not KNOWN_RED.exists():
        return {}
    entries = {}
    for block in KNOWN_RED.read_text().split('\n\n'):
        fields = dict(
            line.split(': ', 1) for line in block.splitlines() if ': ' in line
        )
        if 'test' in fields:
            entries[fields['test']] = fields.get('seen', '')
    return entries


def daisygw(
    *args: str,
    body: bytes = b'',
    program: Sequence[str] = (sys.executable, '-m', 'daisygw'),
) -> subprocess.CompletedProcess:
    """Run the daisygw command and return the completed process."""
    return subprocess.run(
        [*program, *args],
        input=body,
        capture_output=True,
        timeout=_COMMAND_TIMEOUT_S,
        check=False,
        cwd=ROOT,
    )


@contextmanager
def small_cell(
    domains: Sequence[str] = ('santander',),
    targets: int = 2,
    **more: Any,
) -> Generator[RunningCell, None, None]:
    """Run a cell with targets in each failure domain; yield it once ready."""
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('norte', domains, **more)
        with serving_cell(plan, Path(folder), targets) as cell:
            yield cell


@contextmanager
def serving_cell(
    plan: CellPlan,
    folder: Path,
    targets: int,
) -> Generator[RunningCell, None, None]:
    """Run a planned cell; yield it once all its targets are registered."""
    with running_cell(plan, folder) as cell:
        for domain in domains_of(plan):
            start_targets(cell, domain, targets)
        total = targets * len(domains_of(plan))
        wait_until_serving(cell, total, _START_TIMEOUT_S)
        yield cell


def submit(
    entry: str,
    contract: Any,
    body: bytes = b'{}',
    timeout: float = 60,
) -> tuple[int, bytes]:
    """Submit a contract over HTTP; return the HTTP status and the body."""
    header = contract if isinstance(contract, str) else json.dumps(contract)
    headers = {'Daisygw-Contract': header}
    return call(entry, '/v1/requests', 'POST', body, headers, timeout)


def code_of(reply: tuple[int, bytes]) -> int:
    """Return the result code of a JSON reply, or 100 for a plain answer."""
    try:
        document = json.loads(reply[1])
    except ValueError:
        return 100
    return document.get('code', 100) if isinstance(document, dict) else 100


def target_counts(cell: RunningCell) -> list[dict[str, Any]]:
    """Return the counts of each target that can be reached."""
    counts = [
        fetch_json(address, '/v1/counts') for address in cell.targets.values()
    ]
    return [one for one in counts if one is not None]


def starts(cell: RunningCell) -> Counter[str]:
    """Return how many times each task was started, over all targets."""
    total: Counter[str] = Counter()
    for counts in target_counts(cell):
        total.update(counts['starts'])
    return total


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock that jumps to the next timer."""

    def __init__(self) -> None:
        """Start the virtual clock at 100 s."""
        super().__init__()
        self._now = 100.0

    def time(self) -> float:
        """Return the virtual time (s)."""
        return self._now

    def jump(self, seconds: float) -> None:
        """Let time pass without running a timer, as a suspended process."""
        self._now += seconds

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0]._when)
        super()._run_once()


def run_virtually(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a virtual clock and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
