"""Starts and ends processes of entry hosts."""

import asyncio
import json
import os
import sys
from pathlib import Path

from tools.build_binary import ROOT


async def start_entry(settings, folder, *, options=(), output=asyncio.subprocess.DEVNULL):
    """Start a host's process, whose settings file goes to ``folder``.

    :param options: options of the interpreter.
    :param output: a file for the log and the error output; by default only errors are shown.
    """
    path = _write(settings, folder)
    is_hidden = output == asyncio.subprocess.DEVNULL
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *options,
        '-m',
        'balsamrail.entry',
        str(path),
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        stdout=output,
        stderr=None if is_hidden else output,
    )


def _write(settings, folder):
    path = Path(folder, f'{settings["host"]}.json')
    path.write_text(json.dumps(settings))
    return path


def check_running(process):
    """Fail if the process has ended, so that nothing waits for it until a scenario's time is over."""
    assert process.returncode is None, f'exit code {process.returncode}'


async def end_processes(*processes):
    """Kill the processes that still run, and wait for all."""
    for process in processes:
        if process.returncode is None:
            process.kill()
        await process.wait()
