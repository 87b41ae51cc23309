"""Steps of command_line.feature for the demo."""

import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import then, when

from tools.build_binary import ROOT
from tools.fleet import Fleet

# Used by no other scenario, so that the first offset is free.
NETWORK = 77
END_TIMEOUT_S = 60
# Bound while a demo runs: it uses the fixed addresses of the examples, also in other test runs.
DEMO_LOCK = ('127.29.0.1', 6_999)
LAUNCHER = f"""
import sys, time
from pathlib import Path
from tools.fleet import Fleet

fleet = Fleet(deployment='selokosmos', folder=Path(sys.argv[1]), network={NETWORK})
process = fleet.spawn('idle', 'http.server', '0')
print(fleet.offset, process.pid, flush=True)
time.sleep({END_TIMEOUT_S})
"""


def lock_demo(context):
    """Wait until no other test run of this machine runs a demo."""
    lock = socket.socket()
    context.add_cleanup(lock.close)
    limit = time.monotonic() + END_TIMEOUT_S
    while True:
        try:
            lock.bind(DEMO_LOCK)
        except OSError:
            assert time.monotonic() < limit, 'another test run holds the addresses of the demo'
            time.sleep(0.1)
        else:
            return


@when('the demo of "{deployment}" is run once')
def step_demo(context, deployment):
    lock_demo(context)
    command = [sys.executable, '-m', 'tools.run_demo', '--once', '--deployment', deployment]
    context.demo = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )


@then('it prints a look-up and a booking that were answered with 200')
def step_demo_calls(context):
    output = context.demo.stdout
    assert context.demo.returncode == 0, (output, context.demo.stderr)
    assert re.search('GET .*/lookup/bookings -> 200 in', output), output
    assert re.search('POST .*/services/bookings/bookings -> 200 in', output), output


@then('all its processes have ended with exit code 0')
def step_demo_ended(context):
    output = context.demo.stdout
    assert '13 processes ended, exit codes [0]' in output, (output, context.demo.stderr)


@when('the demo of "{deployment}" is interrupted {count:d} times while it runs')
def step_interrupt(context, deployment, count):
    lock_demo(context)
    process = subprocess.Popen(
        [sys.executable, '-m', 'tools.run_demo', '--deployment', deployment],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(process.kill)
    lines = []
    for line in process.stdout:
        lines.append(line)
        if line.startswith('running'):
            break
    else:
        raise AssertionError((''.join(lines), process.communicate(timeout=END_TIMEOUT_S)[1]))
    for _ in range(count):
        process.send_signal(signal.SIGINT)
        time.sleep(0.2)
    stdout, stderr = process.communicate(timeout=END_TIMEOUT_S)
    context.demo = subprocess.CompletedProcess(process.args, process.returncode, stdout, stderr)


@then('the demo ends quietly with exit code 0')
def step_quiet(context):
    assert not context.demo.stderr, context.demo.stderr
    assert context.demo.returncode == 0, context.demo.returncode


@when('the launcher of a fleet is killed while a process of the fleet runs')
def step_kill_launcher(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    launcher = subprocess.Popen(
        [sys.executable, '-c', LAUNCHER, folder.name], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    context.offset, context.idle_pid = (int(field) for field in launcher.stdout.readline().split())
    launcher.kill()
    launcher.wait()


def _next_offset():
    fleet = Fleet(deployment='selokosmos', folder=Path(), network=NETWORK)
    fleet.kill_all()
    return fleet.offset


@then('the next fleet of that network takes other addresses until that process has ended')
def step_other_addresses(context):
    try:
        assert _next_offset() != context.offset
    finally:
        os.kill(context.idle_pid, signal.SIGKILL)
    limit = time.monotonic() + END_TIMEOUT_S
    while _next_offset() != context.offset and time.monotonic() < limit:
        time.sleep(0.01)
    assert _next_offset() == context.offset
