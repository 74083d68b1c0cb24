"""Steps that run the demo and the built binary."""

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

# Bounds a demo that hangs; the waits inside the demo are shorter.
_DEMO_TIMEOUT_S = 600
_BUILD_TIMEOUT_S = 600
_START_TIMEOUT_S = 60
_STOP_TIMEOUT_S = 30


@when('the demo is run')
def run_demo(context):
    """Run the demo in its own session, so its processes can be found."""
    context.demo = subprocess.Popen(
        [sys.executable, '-m', 'standins.demo'],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    )
    context.output = context.demo.communicate(timeout=_DEMO_TIMEOUT_S)[0]


@then('it ends with status 0 and leaves no process behind')
def check_demo(context):
    """Check the exit status, and that no process of its session is left."""
    assert context.demo.returncode == 0, context.output.decode()
    remaining = []
    for process in psutil.process_iter():
        try:
            if os.getsid(process.pid) == context.demo.pid:
                remaining.append(process.pid)
        except (ProcessLookupError, PermissionError):
            continue
    assert not remaining, remaining


@fixture
def binary_scheduler(context):
    """Build the binary and yield a scheduler process that runs it."""
    subprocess.run(
        ['make', 'binary'],
        cwd=ROOT,
        check=True,
        capture_output=True,
        timeout=_BUILD_TIMEOUT_S,
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
    """Build the binary, and wait until its scheduler leads its group."""
    context.process = use_fixture(binary_scheduler, context)
    log = context.process.log
    wait_until(
        lambda: '"leads": true' in log.read_text(),
        _START_TIMEOUT_S,
        'the scheduler leads',
    )


@then('it has one thread and no child process')
def check_process(context):
    """Check the process's threads and children as the system shows them."""
    process = psutil.Process(context.process.popen.pid)
    assert not process.children(recursive=True)
    assert process.num_threads() == 1, process.threads()


@then('it logs a dump on SIGUSR1, and stops with status 0 on SIGTERM')
def check_dump(context):
    """Send both signals, and check the log and the exit status."""
    popen = context.process.popen
    popen.send_signal(signal.SIGUSR1)

    def dumped() -> bool:
        lines = context.process.log.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith('{')]
        return any(event['event'] == 'dump' for event in events)

    wait_until(dumped, _STOP_TIMEOUT_S, 'a dump in the log')
    popen.send_signal(signal.SIGTERM)
    assert popen.wait(_STOP_TIMEOUT_S) == 0
