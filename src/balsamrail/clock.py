"""Time, as the running event loop has it, so that tests can pause and advance it."""

import asyncio
import time


class Clock:
    """The clock of one process.

    Durations are measured with :meth:`monotonic`, which is the event loop's time in seconds.
    :meth:`wall` is for instants that other hosts have to understand. It starts at the system's
    wall time and advances with the loop, so it never steps back while the process lives.
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
