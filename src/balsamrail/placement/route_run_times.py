"""Run times of requests by route."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

_MAX_SAMPLES = 48
_MIN_SAMPLES = 8
# The weight of the newest run in the mean: long runs are rare, so that the mean of few runs is
# far from the mean of all.
_MEAN_WEIGHT = 0.02
# The median is recalculated after this many samples.
_SAMPLES_PER_UPDATE = 8


@dataclass(slots=True, kw_only=True)
class _RunTimes:
    samples: deque[float] = field(default_factory=lambda: deque(maxlen=_MAX_SAMPLES))
    samples_since_update: int = 0
    median_s: float | None = None
    mean_s: float | None = None


class RouteRunTimes:
    """Keeps the median run time of requests for objects that their target knows, by route.

    The median is used since slow targets hardly affect it. The mean of all runs tells how soon a
    slot becomes free.
    """

    __slots__ = ('_times_by_route',)

    def __init__(self) -> None:
        self._times_by_route: dict[str, _RunTimes] = {}

    def note(self, route: str, took_s: float) -> None:
        """Record the time of one run, excluding the time in the queue."""
        times = self._times_by_route.setdefault(route, _RunTimes())
        times.samples.append(took_s)
        times.samples_since_update += 1
        if len(times.samples) >= _MIN_SAMPLES and (
            times.median_s is None or times.samples_since_update >= _SAMPLES_PER_UPDATE
        ):
            times.median_s = median(times.samples)
            times.samples_since_update = 0

    def note_any(self, route: str, took_s: float) -> None:
        """Record the time of one run for the mean, also of an object that is new to its target."""
        times = self._times_by_route.setdefault(route, _RunTimes())
        if times.mean_s is None:
            times.mean_s = took_s
        times.mean_s += (took_s - times.mean_s) * _MEAN_WEIGHT

    def mean_s(self, route: str) -> float | None:
        """Return the mean of all runs in seconds, ``None`` if there was none."""
        times = self._times_by_route.get(route)
        return times.mean_s if times else None

    def median_s(self, route: str) -> float | None:
        """Return the median in seconds, ``None`` until enough runs were recorded."""
        times = self._times_by_route.get(route)
        return times.median_s if times else None
