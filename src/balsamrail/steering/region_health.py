"""Health state of a region for one service."""

_FAILED_BELOW_FRACTION = 0.5
_RECOVERED_FROM_FRACTION = 0.7


class RegionHealth:
    """Derives the health of a region from the fraction of usable targets, with hysteresis.

    Measurements lag, so the state changes only after they have contradicted it for some time.
    Recovery takes longer and requires a higher fraction than failure.

    :param failed_after_s: time with less than 50% usable after which the region counts as failed.
    :param recovered_after_s: time with at least 70% usable after which it counts as recovered.
    """

    __slots__ = ('_contradicted_since', '_failed_after_s', '_recovered_after_s', 'failed')

    def __init__(self, *, failed_after_s: float = 3, recovered_after_s: float = 10) -> None:
        self._failed_after_s = failed_after_s
        self._recovered_after_s = recovered_after_s
        self._contradicted_since: float | None = None
        self.failed = False

    def observe(self, usable: float, *, now: float) -> bool:
        """Record a measurement and return whether the region counts as failed."""
        contradicts = (
            usable >= _RECOVERED_FROM_FRACTION if self.failed else usable < _FAILED_BELOW_FRACTION
        )
        if not contradicts:
            self._contradicted_since = None
            return self.failed
        if self._contradicted_since is None:
            self._contradicted_since = now
        wait_s = self._recovered_after_s if self.failed else self._failed_after_s
        if now - self._contradicted_since >= wait_s:
            self.failed = not self.failed
            self._contradicted_since = None
        return self.failed
