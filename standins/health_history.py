"""What an upstream's health was a while ago."""

import asyncio
from collections import deque

_KEPT_S = 600


class HealthHistory:
    """Keeps state and load over time, since ``/health`` may lag."""

    __slots__ = ('_points',)

    def __init__(self) -> None:
        self._points: deque[tuple[float, str, int]] = deque()

    def note(self, *, state: str, in_flight: int) -> None:
        """Add what is true from now on."""
        now = asyncio.get_running_loop().time()
        self._points.append((now, state, in_flight))
        while len(self._points) > 1 and self._points[1][0] < now - _KEPT_S:
            self._points.popleft()

    def shown(self, *, lag_s: float) -> tuple[str, int]:
        """Return state and load as they were ``lag_s`` seconds ago, the oldest known if none."""
        instant = asyncio.get_running_loop().time() - lag_s
        for since, state, in_flight in reversed(self._points):
            if since <= instant:
                return state, in_flight
        return self._points[0][1:]
