"""Order in which the regions of a service are tried."""

from collections.abc import Callable, Iterator, Mapping
from random import Random

from balsamrail.steering.routing_plan import RoutingPlan
from balsamrail.steering.service_weights import ServiceWeights


class RegionSelector:
    """Orders regions by the effective weights.

    :param weights: the effective weights of this host.
    """

    __slots__ = ('_random', '_weights')

    def __init__(self, *, weights: ServiceWeights, random: Random) -> None:
        self._weights = weights
        self._random = random

    def order_for_caller(self, *, plan: RoutingPlan, service: str, nearest: str) -> list[str]:
        """Return the regions for a caller nearest to ``nearest``, the preferred one first."""
        weights = self._effective_weights(plan=plan, service=service)
        first = self._choose_region(
            weights, nearest=nearest, regions=len(plan.declaration.regions)
        )
        return _order_from(weights, first=first, nearest=nearest, plan=plan)

    def candidates_for_request(
        self, *, plan: RoutingPlan, service: str, own: str, is_failing: Callable[[str], bool]
    ) -> Iterator[tuple[str, bool]]:
        """Yield each region for a request at a host of ``own``, and whether it is a spillover.

        The lookup has already distributed callers by weight, so the own region comes first while
        its weight is above zero; distributing again would shift traffic twice. If the first region
        currently fails, it is tried last even before its weight is lowered.
        """
        weights = self._effective_weights(plan=plan, service=service)
        first: str | None = own
        if weights.get(own, 0) <= 0:
            first = self._choose_region(
                weights, nearest=own, regions=len(plan.declaration.regions)
            )
        regions = _order_from(weights, first=first, nearest=own, plan=plan)
        if regions and is_failing(regions[0]):
            regions = [*regions[1:], regions[0]]
        for region in regions:
            yield region, region != first

    def _effective_weights(self, *, plan: RoutingPlan, service: str) -> dict[str, float]:
        weights = self._weights.effective(plan=plan, service=service)
        return {region: weights.get(region, 0) for region in plan.regions(service=service)}

    def _choose_region(
        self, weights: Mapping[str, float], *, nearest: str, regions: int
    ) -> str | None:
        """Return the first region for a caller, chosen at random.

        The nearest region keeps as many of its callers as its weight covers, and regions with
        excess weight receive the others. If callers are spread evenly over ``regions`` regions,
        traffic follows the weights with the fewest callers outside their nearest region.
        """
        even_weight = 1 / max(1, regions)
        if self._random.random() < weights.get(nearest, 0) / even_weight:
            return nearest
        surplus = {
            name: weight - even_weight for name, weight in weights.items() if weight > even_weight
        }
        surplus.pop(nearest, None)
        if not surplus:
            surplus = {name: weight for name, weight in weights.items() if weight > 0}
        if not surplus:
            return None
        return self._random.choices(list(surplus), weights=list(surplus.values()))[0]


def _order_from(
    weights: Mapping[str, float], *, first: str | None, nearest: str, plan: RoutingPlan
) -> list[str]:
    others = [name for name, weight in weights.items() if weight > 0 and name != first]
    others.sort(key=lambda name: (plan.delay_ms(source=nearest, destination=name), -weights[name]))
    return others if first is None else [first, *others]
