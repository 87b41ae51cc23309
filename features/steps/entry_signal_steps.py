"""Steps of entry.feature about signal handling."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from behave import then, when
from free_ports import free_address
from platform_helpers import process_settings

ROOT = Path(__file__).resolve().parents[2]
PROCESS_TIMEOUT_S = 60
# Sends itself each signal at once after the event loop has removed the handler.
SIGNAL_PROGRAM = """
import asyncio, os, signal
from balsamrail.process.ignored_signals import ignore_signals

async def main():
    loop = asyncio.get_running_loop()
    remove = loop.remove_signal_handler
    def remove_and_raise(number):
        remove(number)
        os.kill(os.getpid(), number)
    loop.remove_signal_handler = remove_and_raise
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    for number in numbers:
        loop.add_signal_handler(number, print)
    ignore_signals(numbers)

asyncio.run(main())
"""


def _signal_masks(pid):
    """Return the bit masks of the signals that a process ignores and handles."""
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    fields = dict(line.split(':', 1) for line in lines)
    return int(fields['SigIgn'], 16), int(fields['SigCgt'], 16)


@when('its process receives SIGHUP repeatedly from its start to the end of a graceful shutdown')
def step_reloads(context):
    settings = process_settings(store={'address': free_address()}, bounds={'stop_grace_s': 2})
    context.path.write_text(json.dumps(settings))
    environment = {**os.environ, 'PYTHONPATH': str(ROOT / 'src')}
    process = subprocess.Popen(
        [sys.executable, '-m', 'balsamrail.entry', str(context.path)],
        env=environment,
        stdout=subprocess.PIPE,
    )
    context.add_cleanup(process.kill)
    bit = 1 << signal.SIGHUP - 1
    context.was_ignored = False
    handled_at = None
    limit = time.monotonic() + PROCESS_TIMEOUT_S
    while process.poll() is None and time.monotonic() < limit:
        ignored, handled = _signal_masks(process.pid)
        context.was_ignored = context.was_ignored or bool(ignored & bit and handled_at is None)
        if handled & bit and handled_at is None:
            handled_at = time.monotonic()
        if handled_at and time.monotonic() - handled_at > 1:
            process.terminate()
            handled_at = limit
        if (ignored | handled) & bit or handled_at:
            process.send_signal(signal.SIGHUP)
        time.sleep(0.001)
    context.code = process.poll()


@then('SIGHUP is ignored until the host handles it, and the process exits with code 0')
def step_ended(context):
    assert context.was_ignored
    assert context.code == 0, context.code


@when('a process ignores its signals while each arrives right after its handler was removed')
def step_ignore(context):
    completed = subprocess.run(
        [sys.executable, '-c', SIGNAL_PROGRAM],
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        timeout=PROCESS_TIMEOUT_S,
        check=False,
    )
    context.code = completed.returncode


@then('the process exits with code 0')
def step_exited(context):
    assert context.code == 0, context.code
