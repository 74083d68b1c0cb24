"""Helpers of the tests: cells, calls and what the targets counted."""

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
_UP_WAIT = 60
_COMMAND_WAIT = 60


def known_red() -> dict[str, str]:
    """Return what is known to be red: scenario name to what was seen."""
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
    """Run the command line and return how it ended."""
    return subprocess.run(
        [*program, *args],
        input=body,
        capture_output=True,
        timeout=_COMMAND_WAIT,
        check=False,
        cwd=ROOT,
    )


@contextmanager
def small_cell(
    domains: Sequence[str] = ('santander',),
    targets: int = 2,
    **more: Any,
) -> Generator[RunningCell, None, None]:
    """Run a cell with targets in each failure domain, until it serves."""
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
    """Run a planned cell, until it serves."""
    with running_cell(plan, folder) as cell:
        for domain in domains_of(plan):
            start_targets(cell, domain, targets)
        total = targets * len(domains_of(plan))
        wait_until_serving(cell, total, _UP_WAIT)
        yield cell


def submit(
    entry: str,
    contract: Any,
    body: bytes = b'{}',
    timeout: float = 60,
) -> tuple[int, bytes]:
    """Submit a contract over HTTP; return status and body."""
    header = contract if isinstance(contract, str) else json.dumps(contract)
    headers = {'Daisygw-Contract': header}
    return call(entry, '/v1/requests', 'POST', body, headers, timeout)


def code_of(reply: tuple[int, bytes]) -> int:
    """Return the result code of a JSON reply, 100 for a plain answer."""
    try:
        document = json.loads(reply[1])
    except ValueError:
        return 100
    return document.get('code', 100) if isinstance(document, dict) else 100


def judged(cell: RunningCell) -> list[dict[str, Any]]:
    """Return what each target that can be reached has counted."""
    seen = [
        fetch_json(address, '/v1/counts') for address in cell.targets.values()
    ]
    return [one for one in seen if one is not None]


def starts(cell: RunningCell) -> Counter[str]:
    """Return how often each task started, over all targets."""
    total: Counter[str] = Counter()
    for seen in judged(cell):
        total.update(seen['starts'])
    return total


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer: no real waiting."""

    def __init__(self) -> None:
        """Begin at 100 s."""
        super().__init__()
        self._now = 100.0

    def time(self) -> float:
        """Return the virtual time (s)."""
        return self._now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0]._when)
        super()._run_once()


def run_virtually(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a virtual clock; return what it returns."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
