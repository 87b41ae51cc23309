"""Runs and restarts the tasks of a host."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from balsamrail.environment import Environment

_RESTART_DELAY_S = 1


class Supervisor:
    """Runs one task for each part of a host and restarts a part that ends or fails.

    A failure of one part, such as the block map, must not stop a host that can still forward
    requests.
    """

    __slots__ = ('_environment', '_failures_by_part', '_tasks')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._tasks: list[asyncio.Task[None]] = []
        self._failures_by_part: dict[str, int] = {}

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run ``run`` as the task of the part ``name`` until :meth:`stop`."""
        self._tasks.append(asyncio.create_task(self._run_with_restarts(name, run), name=name))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def dump(self) -> dict[str, Any]:
        """Return the running parts and the number of failures of each as plain data."""
        return {
            'running': [task.get_name() for task in self._tasks if not task.done()],
            'failures': self._failures_by_part,
        }

    async def _run_with_restarts(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await run()
            except Exception as raised:
                error = _first_cause(raised)
                self._environment.log.event(
                    'part_failed',
                    part=name,
                    error=type(error).__name__,
                    reason=error,
                    place=_location(error),
                )
            self._failures_by_part[name] = self._failures_by_part.get(name, 0) + 1
            self._environment.metrics.count('parts_restarted')
            await asyncio.sleep(_RESTART_DELAY_S)


def _first_cause(error: Exception) -> Exception:
    """Return the first error of a group, as a task group raises it; other errors unchanged."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error


def _location(error: Exception) -> str:
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return 'unknown'
    return f'{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}'
