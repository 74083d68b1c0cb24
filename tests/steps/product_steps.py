"""Steps that run the whole product."""

import json
import os
import signal
import subprocess  # noqa: S404  the demo and the build, as a user runs them
import sys
import tempfile
from pathlib import Path

import psutil
from behave import fixture, then, use_fixture, when

from standins.cell import (
    LOOPBACK,
    CellPlan,
    HostPlan,
    Process,
    RunningCell,
    free_ports,
    wait_until,
    write_settings,
)
from tests.utils import ROOT

# A guard against a demo that hangs, s: its own waits are shorter.
_DEMO_WAIT = 600
_BUILD_WAIT = 600
_UP_WAIT = 60
_STOP_WAIT = 30


@when('the demo is run')
def run_demo(context):
    """Run the demo in a session of its own."""
    context.demo = subprocess.Popen(
        [sys.executable, '-m', 'standins.demo'],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    )
    context.said = context.demo.communicate(timeout=_DEMO_WAIT)[0]


@then('it ends with status 0 and leaves no process behind')
def check_demo(context):
    """Check its status, and look for processes of its session."""
    assert context.demo.returncode == 0, context.said.decode()
    left = []
    for process in psutil.process_iter():
        try:
            if os.getsid(process.pid) == context.demo.pid:
                left.append(process.pid)
        except (ProcessLookupError, PermissionError):
            continue
    assert not left, left


@fixture
def binary_scheduler(context):
    """Build the binary and run a scheduler with it, until it is up."""
    subprocess.run(
        ['make', 'binary'],
        cwd=ROOT,
        check=True,
        capture_output=True,
        timeout=_BUILD_WAIT,
    )
    with tempfile.TemporaryDirectory() as name:
        ports = free_ports(2)
        addresses = [f'{LOOPBACK}:{port}' for port in ports]
        host = HostPlan('solo', 'norte', *addresses)
        cell = RunningCell(CellPlan('n', (host,)), Path(name))
        write_settings(cell)
        args = [
            str(ROOT / 'dist' / 'daisygw'),
            'scheduler',
            f'--config={cell.base}',
            '--host=solo',
        ]
        os.environ['SHIV_ROOT'] = name
        process = Process('solo', args, Path(name))
        try:
            yield process
        finally:
            process.popen.kill()
            process.popen.wait()


@when('the binary is built and runs a scheduler')
def build_and_run(context):
    """Build, start, and wait until it leads its group."""
    context.process = use_fixture(binary_scheduler, context)
    log = context.process.log
    wait_until(
        lambda: '"leads": true' in log.read_text(),
        _UP_WAIT,
        'the scheduler leads',
    )


@then('it has one thread and no child process')
def check_process(context):
    """Look at the process from outside."""
    seen = psutil.Process(context.process.popen.pid)
    assert not seen.children(recursive=True)
    assert seen.num_threads() == 1, seen.threads()


@then('it answers a signal with a dump, and stops when told to')
def check_dump(context):
    """Send both signals."""
    popen = context.process.popen
    popen.send_signal(signal.SIGUSR1)

    def dumped() -> bool:
        lines = context.process.log.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith('{')]
        return any(event['event'] == 'dump' for event in events)

    wait_until(dumped, _STOP_WAIT, 'a dump in the log')
    popen.send_signal(signal.SIGTERM)
    assert popen.wait(_STOP_WAIT) == 0
