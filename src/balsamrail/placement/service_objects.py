"""The objects of a service that were requested at a host lately."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

# Requests are counted with this time constant: longer than the gaps between the requests of a
# popular object, and short enough to follow a burst.
_DEMAND_WINDOW_S = 6.0
_DEVIATIONS = 2
# Objects are counted over one to two generations of this length.
_GENERATION_S = 30.0
_MAX_OBJECTS = 2_048
_ESTIMATE_INTERVAL_S = 1.0
_ESTIMATE_ROUNDS = 6
# Less urgent requests count as the least urgent of these priorities.
_PRIORITIES = 4


@dataclass(slots=True, kw_only=True)
class _Demand:
    """Requests for an object, each counted with a weight that decays.

    :param priority: the most urgent priority of the requests.
    """

    priority: int
    count: float = 0
    counted_at: float = 0

    def at(self, now: float) -> float:
        return self.count * math.exp((self.counted_at - now) / _DEMAND_WINDOW_S)


@dataclass(slots=True, kw_only=True)
class ServiceObjects:
    """Counts the objects of a service and the requests for each, in bounded memory.

    :param began_at: when the current generation of objects began.
    """

    began_at: float
    _current: dict[str, _Demand] = field(default_factory=dict)
    _previous: dict[str, _Demand] = field(default_factory=dict)
    _current_requests: int = 0
    _previous_requests: int = 0
    _seen: list[int] = field(default_factory=lambda: [0 for _ in range(_PRIORITIES)])
    _counts: list[float] = field(default_factory=list)
    _counted_at: float = -math.inf

    def note(self, object_key: str, *, priority: int, now: float) -> None:
        """Count a request for an object."""
        if now - self.began_at >= _GENERATION_S or len(self._current) >= _MAX_OBJECTS:
            self._begin_generation(now)
        level = min(max(priority, 0), _PRIORITIES - 1)
        demand = self._current.get(object_key)
        if demand is None:
            demand = self._previous.get(object_key)
            if demand is None:
                demand = _Demand(priority=level)
                self._seen[level] += 1
            self._current[object_key] = demand
        self._current_requests += 1
        if level < demand.priority:
            self._seen[demand.priority] -= 1
            self._seen[level] += 1
            demand.priority = level
        demand.count = demand.at(now) + 1
        demand.counted_at = now

    def rate_of(self, object_key: str, *, now: float) -> float:
        """Return how many requests for an object arrive at this host per second.

        The result is the least rate that explains the requests, two deviations below their
        number: with many hosts, each request by chance would stand for many.
        """
        demand = self._current.get(object_key)
        count = 0 if demand is None else demand.at(now)
        return max(0, count - _DEVIATIONS * math.sqrt(count)) / _DEMAND_WINDOW_S

    def refresh(self, *, now: float) -> None:
        """Estimate the number of objects, if the last estimate is too old.

        Objects that were not requested here lately are included: the fewer of the requests were
        for an object seen before, the more objects are unseen.
        """
        if now - self._counted_at < _ESTIMATE_INTERVAL_S:
            return
        self._counted_at = now
        seen = sum(self._seen)
        requests = self._current_requests + self._previous_requests
        unseen_factor = _estimated_objects(seen, requests) / max(1, seen)
        self._counts = [count * unseen_factor for count in self._seen]

    def requests(self) -> int:
        """Return the number of requests in the current generation."""
        return self._current_requests

    def total(self) -> float:
        """Return the number of objects."""
        return sum(self._counts)

    def counts_up_to(self, priority: int) -> Sequence[float]:
        """Return the numbers of objects of the priorities up to one, the most urgent first."""
        return self._counts[: max(0, priority) + 1]

    def _begin_generation(self, now: float) -> None:
        self.began_at = now
        self._previous, self._current = self._current, {}
        self._previous_requests, self._current_requests = self._current_requests, 0
        self._seen = [0 for _ in range(_PRIORITIES)]
        for demand in self._previous.values():
            self._seen[demand.priority] += 1


def _estimated_objects(seen: int, requests: int) -> float:
    """Return the number of equally popular objects of which ``requests`` requests show ``seen``.

    It solves ``seen = objects * (1 - exp(-requests / objects))``, beginning with the solution for
    many objects. Two repetitions are added there, since none at all may be chance.
    """
    if not seen:
        return 0
    estimate = max(float(seen), requests * requests / (2 * (requests - seen + 2)))
    for _ in range(_ESTIMATE_ROUNDS):
        estimate = seen / -math.expm1(-requests / estimate)
    return estimate
