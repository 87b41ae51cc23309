"""History of the health state of an upstream."""

import asyncio
from collections import deque

_RETENTION_S = 600


class HealthHistory:
    """Stores state and load over time, so that ``/health`` can report them with a delay."""

    __slots__ = ('_samples',)

    def __init__(self) -> None:
        self._samples: deque[tuple[float, str, int]] = deque()

    def record(self, *, state: str, in_flight: int) -> None:
        """Append the state and load that apply from now on."""
        now = asyncio.get_running_loop().time()
        self._samples.append((now, state, in_flight))
        while len(self._samples) > 1 and self._samples[1][0] < now - _RETENTION_S:
            self._samples.popleft()

    def state_at(self, *, lag_s: float) -> tuple[str, int]:
        """Return state and load ``lag_s`` seconds ago, or the oldest sample if there is none."""
        instant = asyncio.get_running_loop().time() - lag_s
        for since, state, in_flight in reversed(self._samples):
            if since <= instant:
                return state, in_flight
        return self._samples[0][1:]
