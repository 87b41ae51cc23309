"""The order in which the targets of a service are tried for an object."""

from collections.abc import Iterable, Iterator

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.placement.locality_weights import locality_weights
from balsamrail.placement.rendezvous_hashing import RendezvousRanking


class TargetOrder:
    """Orders regions by locality weights and the targets of each by rendezvous hashing.

    All hosts of a region that know the same targets compute the same order, so they agree on the
    target of an object without coordination::

        order = TargetOrder(
            entries, region_by_zone=region_by_zone, own_zone='attiki-a', own_region='attiki'
        )
        first, second = order.candidates('object 17', per_region=2)

    :param entries: the usable targets.
    :param region_by_zone: the regions of all availability zones that have callers.
    :param own_zone: the availability zone of this host.
    :param own_region: its region.
    """

    __slots__ = (
        '_own_region',
        '_ranking_by_region',
        '_ranking_by_zone',
        '_region_ranking',
        '_unweighted_region_ranking',
        '_zone_ranking',
        'targets_per_region',
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
        own_region_zones = [
            zone for zone, region in region_by_zone.items() if region == own_region
        ]
        slots_by_zone = dict.fromkeys((own_zone, *own_region_zones), 0)
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
        self._region_ranking = RendezvousRanking(
            weight_by_id=locality_weights(slots_by_region, own=own_region)
        )
        self._zone_ranking = RendezvousRanking(
            weight_by_id=locality_weights(slots_by_zone, own=own_zone)
        )
        self._unweighted_region_ranking = RendezvousRanking(
            weight_by_id=dict.fromkeys(weights_by_region, 1)
        )
        self._ranking_by_region = _rankings_by_locality(weights_by_region)
        self._ranking_by_zone = _rankings_by_locality(weights_by_zone)
        # The number of targets for the objects of one region, if each region has as many.
        self.targets_per_region = sum(map(len, weights_by_region.values())) / len(
            weights_by_region
        )

    def candidates(
        self, object_key: str, *, per_region: int, prefers_own_zone: bool = False
    ) -> Iterator[str]:
        """Yield the ids of the targets to which an object is assigned, in order of preference.

        :param per_region: the number of targets of a region that precede the next region.
        :param prefers_own_zone: whether the object is assigned targets in each availability zone
            of the own region, as far as the capacity of the zone allows. This reduces the traffic
            between zones, but the object is run for the first time once in each zone.
        """
        for region in self._region_ranking.best(object_key, count=len(self._ranking_by_region)):
            if prefers_own_zone and region == self._own_region:
                yield from self._candidates_by_zone(object_key, per_region)
            else:
                yield from self._ranking_by_region[region].best(object_key, count=per_region)

    def fallbacks(self, object_key: str) -> Iterator[str]:
        """Yield the ids of all targets, for use if no candidate is available.

        The own region comes first, so that the object stays close to its callers.
        """
        other_regions = self._unweighted_region_ranking.best(
            object_key, count=len(self._ranking_by_region)
        )
        for region in (
            self._own_region,
            *(one for one in other_regions if one != self._own_region),
        ):
            targets = self._ranking_by_region[region]
            yield from targets.best(object_key, count=targets.size())

    def _candidates_by_zone(self, object_key: str, count: int) -> Iterator[str]:
        for zone in self._zone_ranking.best(object_key, count=len(self._ranking_by_zone)):
            found = self._ranking_by_zone[zone].best(object_key, count=count)
            yield from found
            count -= len(found)


def _rankings_by_locality(
    weights_by_locality: dict[str, dict[str, float]],
) -> dict[str, RendezvousRanking]:
    return {
        locality: RendezvousRanking(weight_by_id=weight_by_id)
        for locality, weight_by_id in weights_by_locality.items()
    }
