"""Runs coroutines on a loop whose clock jumps ahead when nothing is left to do."""

from collections.abc import Coroutine
from typing import Any

import async_solipsism


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
