"""Counts what this host's callers ask for and how targets answer."""

from collections import Counter
from dataclasses import dataclass, field

# An object that was answered by the same target within this time is known there.
_KNOWN_S = 20.0
_MOST_OBJECTS = 8_192


@dataclass(slots=True, kw_only=True)
class TargetSample:
    """Answers of one target since the last report.

    :param answers: how many answers to objects that the target knew.
    :param busy_s: the sum of the times that the target worked on them, in seconds.
    :param ended: how many requests ended there, with or without an answer.
    :param failures: how many of these broke off.
    """

    answers: int = 0
    busy_s: float = 0
    ended: int = 0
    failures: int = 0


@dataclass(slots=True, kw_only=True)
class Demand:
    """What was counted since the last report."""

    counts_by_scope: dict[str, Counter[int]] = field(default_factory=dict)
    samples_by_target: dict[str, TargetSample] = field(default_factory=dict)


class DemandMeter:
    """Collects a :class:`Demand` between two reports.

    Only answers to objects that a target knew are timed, since the first run of an object takes
    several times as long and says nothing of the target's speed.
    """

    __slots__ = ('_demand', '_served_by_object')

    def __init__(self) -> None:
        self._demand = Demand()
        self._served_by_object: dict[tuple[str, int], tuple[str, float]] = {}

    def note_request(self, scope: str, bucket: int) -> None:
        """Count a request for an object."""
        counts = self._demand.counts_by_scope.setdefault(scope, Counter())
        counts[bucket] += 1

    def note_answer(
        self, scope: str, bucket: int, target_id: str, *, worked_s: float, now: float
    ) -> None:
        """Count an answer, and time it if the target knew the object."""
        sample = self._sample(target_id)
        sample.ended += 1
        key = (scope, bucket)
        served = self._served_by_object.pop(key, None)
        if len(self._served_by_object) >= _MOST_OBJECTS:
            self._served_by_object.pop(next(iter(self._served_by_object)))
        self._served_by_object[key] = (target_id, now)
        if served is not None and served[0] == target_id and now - served[1] < _KNOWN_S:
            sample.answers += 1
            sample.busy_s += worked_s

    def note_failure(self, target_id: str) -> None:
        """Count a request that a target broke off."""
        sample = self._sample(target_id)
        sample.ended += 1
        sample.failures += 1

    def take(self) -> Demand:
        """Return what was counted and begin anew."""
        taken, self._demand = self._demand, Demand()
        return taken

    def _sample(self, target_id: str) -> TargetSample:
        return self._demand.samples_by_target.setdefault(target_id, TargetSample())
