"""The cap on requests that leave their region."""

from collections import deque

from balsamrail.configuration import Cap


class SpillLimiter:
    """Keeps the part of a service's requests that go to another region within a cap.

    Requests that the own region can't take would otherwise move to another region all at once,
    past the cap that holds for weights. The count is kept in slices of a tenth of the window.
    """

    __slots__ = ('_slices',)

    def __init__(self) -> None:
        self._slices: deque[list[float]] = deque()

    def count(self, *, now: float, cap: Cap) -> None:
        """Count a request that arrived."""
        self._slice(now=now, cap=cap)[1] += 1

    def allows(self, *, now: float, cap: Cap) -> bool:
        """Return whether one more request may leave the region."""
        self._slice(now=now, cap=cap)
        arrived = sum(entry[1] for entry in self._slices)
        spilled = sum(entry[2] for entry in self._slices)
        return spilled + 1 <= max(1.0, cap.fraction * arrived)

    def spill(self, *, now: float, cap: Cap) -> None:
        """Count a request that leaves the region."""
        self._slice(now=now, cap=cap)[2] += 1

    def _slice(self, *, now: float, cap: Cap) -> list[float]:
        while self._slices and self._slices[0][0] <= now - cap.per_s:
            self._slices.popleft()
        if not self._slices or now - self._slices[-1][0] >= cap.per_s / 10:
            self._slices.append([now, 0, 0])
        return self._slices[-1]
