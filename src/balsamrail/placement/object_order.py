"""The targets of a service in the order in which an object prefers them."""

from collections.abc import Iterable, Iterator

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.placement.ranking import Ranking
from balsamrail.placement.region_plan import plan_regions


class ObjectOrder:
    """Orders regions by the plan and the targets in each by rendezvous hashing.

    Every host of a region that knows the same targets gets the same order, so that they agree on
    the target of an object without talk::

        order = ObjectOrder(entries, regions=('attiki', 'makedonia'), own='attiki')
        first, second = order.candidates('object 17', in_region=2)

    :param entries: the targets that may be used.
    :param regions: all regions that have callers.
    :param own: the region of this host.
    """

    __slots__ = ('_all_regions', '_own', '_ranking_by_region', '_regions')

    def __init__(
        self, entries: Iterable[TargetEntry], *, regions: Iterable[str], own: str
    ) -> None:
        weights_by_region: dict[str, dict[str, float]] = {region: {} for region in (own, *regions)}
        for entry in entries:
            weights_by_region.setdefault(entry.region, {})[entry.target_id] = entry.slots
        slots_by_region = {
            region: int(sum(by_id.values())) for region, by_id in weights_by_region.items()
        }
        self._regions = Ranking(weight_by_id=plan_regions(slots_by_region, own=own))
        self._own = own
        self._all_regions = Ranking(weight_by_id=dict.fromkeys(weights_by_region, 1))
        self._ranking_by_region = {
            region: Ranking(weight_by_id=by_id) for region, by_id in weights_by_region.items()
        }

    def candidates(self, object_key: str, *, in_region: int) -> Iterator[str]:
        """Give the ids of the targets that the plan means for an object, the preferred one first.

        :param in_region: how many targets of a region are given before the next region.
        """
        for region in self._regions.best(object_key, count=len(self._ranking_by_region)):
            yield from self._ranking_by_region[region].best(object_key, count=in_region)

    def last_resorts(self, object_key: str) -> Iterator[str]:
        """Give the ids of all targets, for when no candidate can be used.

        The own region comes first: there the object is at least near its callers.
        """
        others = self._all_regions.best(object_key, count=len(self._ranking_by_region))
        for region in (self._own, *(other for other in others if other != self._own)):
            targets = self._ranking_by_region[region]
            yield from targets.best(object_key, count=targets.size())
