"""Cap on requests that spill over to another region."""

from collections import deque

from balsamrail.configuration import Cap


class SpilloverLimiter:
    """Limits the fraction of a service's requests that are sent to another region.

    The failover cap on weights does not cover requests that the own region cannot serve; without
    this limit all of them would spill over at once. Counts are kept in slices of a tenth of the
    window.
    """

    __slots__ = ('_slices',)

    def __init__(self) -> None:
        self._slices: deque[list[float]] = deque()

    def count_arrival(self, *, now: float, cap: Cap) -> None:
        """Count an arrived request."""
        self._slice(now=now, cap=cap)[1] += 1

    def allows(self, *, now: float, cap: Cap) -> bool:
        """Return whether one more request may spill over."""
        self._slice(now=now, cap=cap)
        arrived = sum(entry[1] for entry in self._slices)
        spilled = sum(entry[2] for entry in self._slices)
        return spilled + 1 <= max(1.0, cap.fraction * arrived)

    def spill(self, *, now: float, cap: Cap) -> None:
        """Count a request that spills over."""
        self._slice(now=now, cap=cap)[2] += 1

    def _slice(self, *, now: float, cap: Cap) -> list[float]:
        while self._slices and self._slices[0][0] <= now - cap.per_s:
            self._slices.popleft()
        if not self._slices or now - self._slices[-1][0] >= cap.per_s / 10:
            self._slices.append([now, 0, 0])
        return self._slices[-1]
