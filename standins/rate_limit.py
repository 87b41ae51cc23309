"""A rate limiter."""

import asyncio
from collections import deque


class RateLimit:
    """Allows at most ``per_s`` calls in a sliding window of one second."""

    __slots__ = ('_instants', '_per_s')

    def __init__(self, *, per_s: int) -> None:
        self._per_s = per_s
        self._instants: deque[float] = deque()

    def try_acquire(self) -> bool:
        """Return whether a call is within the limit, and count it if so."""
        now = asyncio.get_running_loop().time()
        while self._instants and self._instants[0] <= now - 1:
            self._instants.popleft()
        if len(self._instants) >= self._per_s:
            return False
        self._instants.append(now)
        return True
