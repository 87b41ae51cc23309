"""How long the targets take for the requests of each route."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

_KEPT = 48
_FEWEST = 8
# The median is worked out anew after so many samples.
_RENEWED_AFTER = 8


@dataclass(slots=True, kw_only=True)
class _Times:
    samples: deque[float] = field(default_factory=lambda: deque(maxlen=_KEPT))
    since_renewed: int = 0
    typical_s: float | None = None


class RouteTimes:
    """Keeps the median time of a run for an object that the target knows, by route.

    A median, so that targets that are slow do not change what counts as usual.
    """

    __slots__ = ('_times_by_route',)

    def __init__(self) -> None:
        self._times_by_route: dict[str, _Times] = {}

    def note(self, route: str, took_s: float) -> None:
        """Count the time that one run took, without the wait for a slot."""
        times = self._times_by_route.setdefault(route, _Times())
        times.samples.append(took_s)
        times.since_renewed += 1
        if len(times.samples) >= _FEWEST and (
            times.typical_s is None or times.since_renewed >= _RENEWED_AFTER
        ):
            times.typical_s = median(times.samples)
            times.since_renewed = 0

    def typical_s(self, route: str) -> float | None:
        """Return the usual time in seconds, ``None`` until some runs were seen."""
        times = self._times_by_route.get(route)
        return times.typical_s if times else None
