"""A limit on calls per second."""

import asyncio
from collections import deque


class RateLimit:
    """Allows at most ``per_s`` calls within any second of the loop's time."""

    __slots__ = ('_instants', '_per_s')

    def __init__(self, *, per_s: int) -> None:
        self._per_s = per_s
        self._instants: deque[float] = deque()

    def take(self) -> bool:
        """Count one call and return whether it is within the limit."""
        now = asyncio.get_running_loop().time()
        while self._instants and self._instants[0] <= now - 1:
            self._instants.popleft()
        if len(self._instants) >= self._per_s:
            return False
        self._instants.append(now)
        return True
