"""Time of the running event loop, so that tests can pause and advance it."""

import asyncio
import time
from collections.abc import Callable


class Clock:
    """The clock of one process.

    Durations are measured with :meth:`monotonic`, which is the event loop's time in seconds.
    :meth:`wall` is for timestamps that are exchanged with other hosts. It starts at the system's
    wall time and advances with the loop, so it never goes backwards during the process lifetime.

    :param boottime: returns seconds that also count while the machine is suspended; by default the
        system's boot time, or the loop's time if the loop's clock is not the system's.
    """

    __slots__ = ('_boottime', '_loop', '_offset')

    def __init__(
        self, *, wall: float | None = None, boottime: Callable[[], float] | None = None
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._offset = (time.time() if wall is None else wall) - self._loop.time()
        self._boottime = boottime or _boottime_of(self._loop)

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time()

    def boottime(self) -> float:
        """Return seconds that include the time while the machine was suspended.

        For bounds that must hold after a suspension, during which :meth:`monotonic` stands still.
        """
        return self._boottime()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._offset + self._loop.time()


def _boottime_of(loop: asyncio.AbstractEventLoop) -> Callable[[], float]:
    is_system_time = type(loop).time is asyncio.BaseEventLoop.time
    if not is_system_time or not hasattr(time, 'CLOCK_BOOTTIME'):
        return loop.time
    return _system_boottime


def _system_boottime() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
