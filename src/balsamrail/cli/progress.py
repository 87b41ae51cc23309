"""A progress line on standard error."""

import asyncio
import sys
from collections.abc import Awaitable
from typing import TypeVar

_QUIET_S = 1

AnswerT = TypeVar('AnswerT')


async def with_progress(awaitable: Awaitable[AnswerT], *, text: str) -> AnswerT:
    """Wait for ``awaitable`` and show what is waited for once that takes over a second.

    On a terminal the line counts the seconds and is wiped at the end; elsewhere it is written
    once, so that the logs of scripts stay short.
    """
    reporting = asyncio.create_task(_report(text))
    try:
        return await awaitable
    finally:
        reporting.cancel()
        await asyncio.gather(reporting, return_exceptions=True)


async def _report(text: str) -> None:
    await asyncio.sleep(_QUIET_S)
    if not sys.stderr.isatty():
        sys.stderr.write(f'{text} ...\n')
        return
    seconds = _QUIET_S
    try:
        while True:
            sys.stderr.write(f'\r{text} ... {seconds} s')
            sys.stderr.flush()
            await asyncio.sleep(1)
            seconds += 1
    finally:
        sys.stderr.write('\r\x1b[K')
