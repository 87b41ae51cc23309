"""Over how many of its targets the requests for an object are spread."""

from dataclasses import dataclass
from typing import Any

from balsamrail.placement.rendezvous_hashing import hash_text, mix_hashes
from balsamrail.placement.service_objects import ServiceObjects

# An object gets a further target for each such fraction of the slots of one that it needs.
_MAX_SLOT_FRACTION = 0.6
_MAX_TARGETS = 3
# Targets cache at least about this many objects. With more objects for each target, every object
# that gets a second target pushes another one out of its cache.
_CACHED_OBJECTS = 18
# The least part of their share of the caches that objects of less urgent requests keep.
_MIN_CACHE_SHARE = 0.4
# One of so many requests is placed like that for a resident object, so that no object, and no
# customer with few objects, is rejected for as long as capacity is short.
_REQUESTS_PER_EXEMPTION = 3
_HASH_RANGE = 1 << 64
# Independent of the hashes that rank targets, so that each target gets as many resident objects.
_RESIDENCE_SALT = 0x5851F42D4C957F2D


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectPlacement:
    """How the requests for an object are placed.

    :param targets: the number of targets over which they are spread.
    :param is_dense: whether targets get more objects than they cache.
    :param is_resident: whether the object is among those that the targets should keep in their
        caches; always true unless targets are dense.
    """

    targets: int
    is_dense: bool = False
    is_resident: bool = True


class ObjectSpread:
    """Estimates from the requests of one host how the requests for an object are best placed.

    Callers reach any host of their region, so each of the region's hosts sees about the same
    part of the requests for an object::

        spread.note('atlas', 'object 17', priority=2, now=now)
        spread.placement_of(
            'atlas', 'object 17', priority=2, run_s=0.3, slots=6, targets=20, hosts=9, now=now
        )
    """

    __slots__ = ('_objects_by_service',)

    def __init__(self) -> None:
        self._objects_by_service: dict[str, ServiceObjects] = {}

    def note(self, service: str, object_key: str, *, priority: int, now: float) -> None:
        """Count a request for an object."""
        objects = self._objects_by_service.get(service)
        if objects is None:
            objects = ServiceObjects(began_at=now)
            self._objects_by_service[service] = objects
        objects.note(object_key, priority=priority, now=now)

    def placement_of(
        self,
        service: str,
        object_key: str,
        *,
        priority: int,
        run_s: float,
        slots: int,
        targets: float,
        hosts: int,
        now: float,
    ) -> ObjectPlacement:
        """Return how the requests for an object are placed.

        :param priority: the priority of the request; 0 is the highest.
        :param run_s: how long a run takes at a target that knows the object, in seconds.
        :param slots: the slots of a target.
        :param targets: the number of targets for the objects of this host's region.
        :param hosts: the number of hosts among which the region's callers spread their requests.
        """
        objects = self._objects_by_service.get(service)
        if objects is None:
            return ObjectPlacement(targets=1)
        needed_slots = objects.rate_of(object_key, now=now) * hosts * run_s
        spread = min(_MAX_TARGETS, 1 + int(needed_slots / (slots * _MAX_SLOT_FRACTION)))
        cached = _CACHED_OBJECTS * targets
        objects.refresh(now=now)
        if objects.total() <= cached:
            return ObjectPlacement(targets=spread)
        if not objects.requests() % _REQUESTS_PER_EXEMPTION:
            return ObjectPlacement(targets=spread, is_dense=True)
        position = mix_hashes(hash_text(object_key), _RESIDENCE_SALT) / _HASH_RANGE
        return ObjectPlacement(
            targets=spread,
            is_dense=True,
            is_resident=position < _resident_fraction(objects, cached, priority),
        )

    def dump(self, *, now: float) -> dict[str, Any]:
        """Return the estimated number of objects of each service as plain data."""
        dumped = {}
        for service, objects in self._objects_by_service.items():
            objects.refresh(now=now)
            dumped[service] = {'objects': round(objects.total()), 'requests': objects.requests()}
        return dumped


def _resident_fraction(objects: ServiceObjects, cached: float, priority: int) -> float:
    """Return which part of the objects of a priority fits into the caches, urgent ones first.

    :param cached: how many objects the targets cache.
    """
    least = cached / objects.total() * _MIN_CACHE_SHARE
    fraction = least
    for count in objects.counts_up_to(priority):
        if count:
            fraction = max(least, min(1, cached / count))
            cached -= fraction * count
    return fraction
