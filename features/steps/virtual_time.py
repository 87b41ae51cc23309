"""Runs coroutines on an event loop whose clock skips idle time."""

from collections.abc import Coroutine
from typing import Any

import async_solipsism


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
