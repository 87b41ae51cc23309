"""The order in which regions are tried."""

from collections.abc import Callable, Iterator, Mapping
from random import Random

from balsamrail.steering.plan import Plan
from balsamrail.steering.service_weights import ServiceWeights


class RegionChoice:
    """Picks regions by the effective weights.

    :param weights: the effective weights of this host.
    """

    __slots__ = ('_random', '_weights')

    def __init__(self, *, weights: ServiceWeights, random: Random) -> None:
        self._weights = weights
        self._random = random

    def for_caller(self, *, plan: Plan, service: str, nearest: str) -> list[str]:
        """Return the regions for a caller whose nearest region is ``nearest``, the best first."""
        weights = self._usable(plan=plan, service=service)
        first = self._first(weights, nearest=nearest, regions=len(plan.declaration.regions))
        return _with_rest(weights, first=first, nearest=nearest, plan=plan)

    def for_request(
        self, *, plan: Plan, service: str, own: str, is_failing: Callable[[str], bool]
    ) -> Iterator[tuple[str, bool]]:
        """Give each region for a request at a host of ``own``, and whether it spills over.

        The lookup has already split callers by weight, so the own region is the first while it
        has any weight. Splitting again would move traffic twice. A first region that fails just
        now is tried last, before its weight moves.
        """
        weights = self._usable(plan=plan, service=service)
        first: str | None = own
        if weights.get(own, 0) <= 0:
            first = self._first(weights, nearest=own, regions=len(plan.declaration.regions))
        regions = _with_rest(weights, first=first, nearest=own, plan=plan)
        if regions and is_failing(regions[0]):
            regions = [*regions[1:], regions[0]]
        for region in regions:
            yield region, region != first

    def _usable(self, *, plan: Plan, service: str) -> dict[str, float]:
        weights = self._weights.effective(plan=plan, service=service)
        return {region: weights.get(region, 0) for region in plan.regions(service=service)}

    def _first(self, weights: Mapping[str, float], *, nearest: str, regions: int) -> str | None:
        """Return the region of a caller.

        The nearest region keeps as many of its callers as its weight covers, and regions with
        weight to spare get the rest. If callers are spread evenly over ``regions`` regions,
        traffic follows the weights and no more callers than needed leave their nearest region.
        """
        even = 1 / max(1, regions)
        if self._random.random() < weights.get(nearest, 0) / even:
            return nearest
        surplus = {name: weight - even for name, weight in weights.items() if weight > even}
        surplus.pop(nearest, None)
        if not surplus:
            surplus = {name: weight for name, weight in weights.items() if weight > 0}
        if not surplus:
            return None
        return self._random.choices(list(surplus), weights=list(surplus.values()))[0]


def _with_rest(
    weights: Mapping[str, float], *, first: str | None, nearest: str, plan: Plan
) -> list[str]:
    others = [name for name, weight in weights.items() if weight > 0 and name != first]
    others.sort(key=lambda name: (plan.delay_ms(source=nearest, destination=name), -weights[name]))
    return others if first is None else [first, *others]
