"""The requests that one host may run without asking."""

from collections import deque


class LocalWindow:
    """Counts the requests of a sliding window.

    :param starts_at: when the first request may run. What an earlier process on this host ran is not
        known, so that this has to be one window after the start.
    """

    __slots__ = ('_starts_at', '_taken_at', '_window_s')

    def __init__(self, *, window_s: float, starts_at: float) -> None:
        self._window_s = window_s
        self._starts_at = starts_at
        self._taken_at: deque[float] = deque()

    def take(self, *, limit: int, now: float) -> bool:
        """Count a request and return true if fewer than ``limit`` are in the window."""
        while self._taken_at and self._taken_at[0] <= now - self._window_s:
            self._taken_at.popleft()
        if now < self._starts_at or len(self._taken_at) >= limit:
            return False
        self._taken_at.append(now)
        return True

    def put_back(self, taken_at: float) -> None:
        """Discount a request that has not run."""
        if taken_at in self._taken_at:
            self._taken_at.remove(taken_at)
