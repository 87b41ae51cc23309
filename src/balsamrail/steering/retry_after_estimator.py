"""Estimation of the retry delay of shed requests."""

import math

_WINDOW_S = 5.0
_MAX_RETRY_AFTER_S = 30


class RetryAfterEstimator:
    """Counts admitted and shed requests of one service; counts are halved every five seconds."""

    __slots__ = ('_admitted', '_shed', '_since')

    def __init__(self, *, now: float) -> None:
        self._since = now
        self._admitted: float = 0
        self._shed: float = 0

    def count_admitted(self, *, now: float) -> None:
        """Count an admitted request."""
        self._decay(now=now)
        self._admitted += 1

    def count_shed(self, *, now: float) -> int:
        """Count a shed request and return the delay in seconds before a retry.

        The delay is the ratio of shed to admitted requests: if twice as many are shed as admitted,
        serving them takes about two more seconds for each second of demand.
        """
        self._decay(now=now)
        self._shed += 1
        return min(_MAX_RETRY_AFTER_S, max(1, math.ceil(self._shed / max(1.0, self._admitted))))

    def _decay(self, *, now: float) -> None:
        if now - self._since >= _WINDOW_S:
            self._since = now
            self._admitted /= 2
            self._shed /= 2
