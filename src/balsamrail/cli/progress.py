"""Progress indicator on standard error."""

import asyncio
import sys
from collections.abc import Awaitable
from typing import TypeVar

_PROGRESS_DELAY_S = 1

ResultT = TypeVar('ResultT')


async def with_progress(awaitable: Awaitable[ResultT], *, text: str) -> ResultT:
    """Await ``awaitable`` and show a progress line if that takes more than a second.

    On a terminal the line shows the elapsed seconds and is cleared at the end. Otherwise it is
    written once, so that the logs of scripts stay short.
    """
    progress_task = asyncio.create_task(_show_progress(text))
    try:
        return await awaitable
    finally:
        progress_task.cancel()
        await asyncio.gather(progress_task, return_exceptions=True)


async def _show_progress(text: str) -> None:
    await asyncio.sleep(_PROGRESS_DELAY_S)
    if not sys.stderr.isatty():
        sys.stderr.write(f'{text} ...\n')
        return
    seconds = _PROGRESS_DELAY_S
    try:
        while True:
            sys.stderr.write(f'\r{text} ... {seconds} s')
            sys.stderr.flush()
            await asyncio.sleep(1)
            seconds += 1
    finally:
        sys.stderr.write('\r\x1b[K')
