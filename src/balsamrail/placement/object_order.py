"""The targets of a service in the order in which an object prefers them."""

from collections.abc import Iterable, Iterator

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.placement.place_plan import plan_places
from balsamrail.placement.ranking import Ranking


class ObjectOrder:
    """Orders regions by the plan and the targets in each by rendezvous hashing.

    Every host of a region that knows the same targets gets the same order, so that they agree on
    the target of an object without talk::

        order = ObjectOrder(entries, zones=zones, own_zone='attiki-a', own_region='attiki')
        first, second = order.candidates('object 17', in_region=2)

    :param entries: the targets that may be used.
    :param region_by_zone: all availability zones that have callers.
    :param own_zone: the availability zone of this host.
    :param own_region: its region.
    """

    __slots__ = (
        '_all_regions',
        '_own_region',
        '_ranking_by_region',
        '_ranking_by_zone',
        '_regions',
        '_zones',
    )

    def __init__(
        self,
        entries: Iterable[TargetEntry],
        *,
        region_by_zone: dict[str, str],
        own_zone: str,
        own_region: str,
    ) -> None:
        slots_by_region = dict.fromkeys((own_region, *region_by_zone.values()), 0)
        near = [zone for zone, region in region_by_zone.items() if region == own_region]
        slots_by_zone = dict.fromkeys((own_zone, *near), 0)
        weights_by_region: dict[str, dict[str, float]] = {region: {} for region in slots_by_region}
        weights_by_zone: dict[str, dict[str, float]] = {zone: {} for zone in slots_by_zone}
        for entry in entries:
            weights_by_region.setdefault(entry.region, {})[entry.target_id] = entry.slots
            slots_by_region[entry.region] = slots_by_region.get(entry.region, 0) + entry.slots
            if entry.region == own_region:
                zone = entry.availability_zone
                weights_by_zone.setdefault(zone, {})[entry.target_id] = entry.slots
                slots_by_zone[zone] = slots_by_zone.get(zone, 0) + entry.slots
        self._own_region = own_region
        self._regions = Ranking(weight_by_id=plan_places(slots_by_region, own=own_region))
        self._zones = Ranking(weight_by_id=plan_places(slots_by_zone, own=own_zone))
        self._all_regions = Ranking(weight_by_id=dict.fromkeys(weights_by_region, 1))
        self._ranking_by_region = _rankings(weights_by_region)
        self._ranking_by_zone = _rankings(weights_by_zone)

    def candidates(
        self, object_key: str, *, in_region: int, stays_near: bool = False
    ) -> Iterator[str]:
        """Give the ids of the targets that the plan means for an object, the preferred one first.

        :param in_region: how many targets of a region are given before the next region.
        :param stays_near: whether each availability zone of the own region has targets of its own
            for the object, as far as it can carry them. Then fewer bytes cross zones, and the
            object is new to a target once for each zone.
        """
        for region in self._regions.best(object_key, count=len(self._ranking_by_region)):
            if stays_near and region == self._own_region:
                yield from self._near(object_key, in_region)
            else:
                yield from self._ranking_by_region[region].best(object_key, count=in_region)

    def last_resorts(self, object_key: str) -> Iterator[str]:
        """Give the ids of all targets, for when no candidate can be used.

        The own region comes first: there the object is at least near its callers.
        """
        others = self._all_regions.best(object_key, count=len(self._ranking_by_region))
        for region in (self._own_region, *(one for one in others if one != self._own_region)):
            targets = self._ranking_by_region[region]
            yield from targets.best(object_key, count=targets.size())

    def _near(self, object_key: str, count: int) -> Iterator[str]:
        for zone in self._zones.best(object_key, count=len(self._ranking_by_zone)):
            found = self._ranking_by_zone[zone].best(object_key, count=count)
            yield from found
            count -= len(found)


def _rankings(weights_by_place: dict[str, dict[str, float]]) -> dict[str, Ranking]:
    return {
        place: Ranking(weight_by_id=weight_by_id)
        for place, weight_by_id in weights_by_place.items()
    }
