"""Answer times and failures of targets, averaged over the last seconds."""

import math
from collections.abc import Iterable
from statistics import median

from balsamrail.placement.demand_meter import TargetSample

_LIFE_S = 3.0
_FEWEST_ANSWERS = 6.0
_DEFAULT_S = 0.2


class _Average:
    """Sums that fade with time."""

    __slots__ = ('answers', 'busy_s', 'ended', 'failures')

    def __init__(self) -> None:
        self.answers = 0.0
        self.busy_s = 0.0
        self.ended = 0.0
        self.failures = 0.0

    def fade(self, factor: float) -> None:
        self.answers *= factor
        self.busy_s *= factor
        self.ended *= factor
        self.failures *= factor

    def add(self, sample: TargetSample) -> None:
        self.answers += sample.answers
        self.busy_s += sample.busy_s
        self.ended += sample.ended
        self.failures += sample.failures


class ServiceTimes:
    """Compares each target with the others of its service."""

    __slots__ = ('_average_by_target',)

    def __init__(self) -> None:
        self._average_by_target: dict[str, _Average] = {}

    def note(self, target_id: str, sample: TargetSample) -> None:
        """Take what one host saw of a target."""
        self._average_by_target.setdefault(target_id, _Average()).add(sample)

    def fade(self, elapsed_s: float) -> None:
        """Let older answers count for less."""
        factor = math.exp(-elapsed_s / _LIFE_S)
        for target_id, average in list(self._average_by_target.items()):
            average.fade(factor)
            if average.ended < 0.01:
                del self._average_by_target[target_id]

    def mean_s(self, target_id: str) -> float | None:
        """Return the mean answer time of a target, ``None`` if there are too few answers."""
        average = self._average_by_target.get(target_id)
        if average is None or average.answers < _FEWEST_ANSWERS:
            return None
        return average.busy_s / average.answers

    def typical_s(self, target_ids: Iterable[str]) -> float:
        """Return the median of the targets' mean answer times."""
        means = [mean for mean in map(self.mean_s, target_ids) if mean is not None]
        return median(means) if means else _DEFAULT_S

    def failure_ratio(self, target_id: str) -> float:
        """Return the part of a target's requests that broke off, 0 if there are too few."""
        average = self._average_by_target.get(target_id)
        if average is None or average.ended < _FEWEST_ANSWERS:
            return 0
        return average.failures / average.ended
