"""Over how many of its targets the requests for an object are spread."""

import math
from dataclasses import dataclass, field

# Requests are counted with this time constant: longer than the gaps between the requests of a
# popular object, and short enough to follow a burst.
_DEMAND_WINDOW_S = 3.0
# An object gets a further target for each such fraction of the slots of one that it needs.
_MAX_SLOT_FRACTION = 0.6
_MAX_TARGETS = 3
# Targets cache at least about this many objects. With more objects for each target, every object
# that gets a second target pushes another one out of its cache.
_CACHED_OBJECTS = 18
# Objects are counted over one to two generations of this length.
_GENERATION_S = 30.0
_MAX_OBJECTS = 4_096
_ESTIMATE_INTERVAL_S = 1.0
_ESTIMATE_ROUNDS = 6


@dataclass(slots=True, kw_only=True)
class _Demand:
    """Requests for an object, each counted with a weight that decays."""

    count: float = 0
    counted_at: float = 0

    def at(self, now: float) -> float:
        return self.count * math.exp((self.counted_at - now) / _DEMAND_WINDOW_S)

    def add(self, now: float) -> None:
        self.count = self.at(now) + 1
        self.counted_at = now


@dataclass(slots=True, kw_only=True)
class _ServiceObjects:
    """The objects of a service that were requested at this host lately."""

    current: dict[str, _Demand] = field(default_factory=dict)
    previous: dict[str, _Demand] = field(default_factory=dict)
    current_requests: int = 0
    previous_requests: int = 0
    began_at: float = 0
    estimate: float = 0
    estimated_at: float = -math.inf

    def demand_of(self, object_key: str) -> _Demand:
        """Return the demand of an object, which then belongs to the current generation."""
        demand = self.current.get(object_key)
        if demand is None:
            demand = self.previous.get(object_key) or _Demand()
            self.current[object_key] = demand
        return demand

    def rotate_if_due(self, now: float) -> None:
        if now - self.began_at >= _GENERATION_S or len(self.current) >= _MAX_OBJECTS:
            self.previous, self.current = self.current, {}
            self.previous_requests, self.current_requests = self.current_requests, 0
            self.began_at = now

    def objects(self, now: float) -> float:
        """Return how many objects there are, including those not requested here lately.

        The fewer of the requests were for an object seen before, the more objects are unseen.
        """
        if now - self.estimated_at >= _ESTIMATE_INTERVAL_S:
            self.estimated_at = now
            requests = self.current_requests + self.previous_requests
            seen = len(self.current.keys() | self.previous.keys())
            self.estimate = _estimated_objects(seen, requests)
        return self.estimate


class ObjectSpread:
    """Estimates from the requests of one host how many targets an object needs.

    Callers reach any host of their region, so each of the region's hosts sees about the same
    part of the requests for an object::

        spread.note('atlas', 'object 17', now=now)
        spread.targets_of('atlas', 'object 17', hosts=20, run_s=0.3, slots=6, now=now)
    """

    __slots__ = ('_objects_by_service',)

    def __init__(self) -> None:
        self._objects_by_service: dict[str, _ServiceObjects] = {}

    def note(self, service: str, object_key: str, *, now: float) -> None:
        """Count a request for an object."""
        objects = self._objects_by_service.get(service)
        if objects is None:
            objects = self._objects_by_service[service] = _ServiceObjects(began_at=now)
        objects.rotate_if_due(now)
        objects.current_requests += 1
        objects.demand_of(object_key).add(now)

    def targets_of(
        self,
        service: str,
        object_key: str,
        *,
        hosts: int,
        run_s: float,
        slots: int,
        now: float,
    ) -> int:
        """Return over how many targets the requests for an object should be spread.

        :param hosts: the number of hosts among which callers spread their requests.
        :param run_s: how long a run takes at a target that knows the object.
        :param slots: the slots of a target.
        """
        objects = self._objects_by_service.get(service)
        if objects is None:
            return 1
        # One request says little: with many hosts it would count as many requests at once.
        count = max(0, objects.demand_of(object_key).at(now) - 1)
        needed_slots = count / _DEMAND_WINDOW_S * hosts * run_s
        return min(_MAX_TARGETS, 1 + int(needed_slots / (slots * _MAX_SLOT_FRACTION)))

    def is_dense(self, service: str, *, targets: float, now: float) -> bool:
        """Return whether the targets of a service get more objects than they cache.

        :param targets: the number of targets for the objects of this host's region.
        """
        objects = self._objects_by_service.get(service)
        return objects is not None and objects.objects(now) > _CACHED_OBJECTS * targets


def _estimated_objects(seen: int, requests: int) -> float:
    """Return the number of equally popular objects of which ``requests`` requests show ``seen``."""
    estimate = float(seen)
    if seen:
        for _ in range(_ESTIMATE_ROUNDS):
            estimate = seen / -math.expm1(-requests / estimate)
    return estimate
