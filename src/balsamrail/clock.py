"""Time of the running event loop, so that tests can pause and advance it."""

import asyncio
import time


class Clock:
    """The clock of one process.

    Durations are measured with :meth:`monotonic`, which is the event loop's time in seconds.
    :meth:`wall` is for timestamps that are exchanged with other hosts. It starts at the system's
    wall time and advances with the loop, so it never goes backwards during the process lifetime.
    """

    __slots__ = ('_loop', '_offset')

    def __init__(self, *, wall: float | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self._offset = (time.time() if wall is None else wall) - self._loop.time()

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._offset + self._loop.time()
