"""Cached values that steering derives from one declaration."""

from balsamrail.configuration import Declaration, Target
from balsamrail.steering.cost_vector import cost_vector
from balsamrail.steering.weights import normalised

_DELAY_WITHOUT_LINK_MS = 1e6
_MS_PER_S = 1_000


class RoutingPlan:
    """Costs, targets, weights and link delays of a declaration."""

    __slots__ = (
        '_cost_by_service_region',
        '_delay_by_region_pair',
        '_targets_by_service_region',
        'declaration',
    )

    def __init__(self, *, declaration: Declaration) -> None:
        self.declaration = declaration
        self._cost_by_service_region: dict[tuple[str, str], dict[str, int]] = {}
        self._targets_by_service_region: dict[tuple[str, str], list[Target]] = {}
        self._delay_by_region_pair = {
            frozenset(link.between): link.delay_ms for link in declaration.links
        }

    def cost(self, *, service: str, region: str) -> dict[str, int]:
        """Return the cost vector of a request."""
        service_region = (service, region)
        if service_region not in self._cost_by_service_region:
            self._cost_by_service_region[service_region] = cost_vector(
                self.declaration, service=service, region=region
            )
        return self._cost_by_service_region[service_region]

    def targets(self, *, service: str, region: str) -> list[Target]:
        """Return the targets of a service in a region, none if either is not declared."""
        service_region = (service, region)
        if service_region not in self._targets_by_service_region:
            known = service in self.declaration.services and region in self.declaration.regions
            self._targets_by_service_region[service_region] = (
                self.declaration.targets_in(service=service, region=region) if known else []
            )
        return self._targets_by_service_region[service_region]

    def regions(self, *, service: str) -> list[str]:
        """Return the regions in which the service has targets."""
        return [
            region
            for region in self.declaration.regions
            if self.targets(service=service, region=region)
        ]

    def declared_weights(self, *, service: str) -> dict[str, float]:
        """Return the declared weights, proportional to slots if none are declared."""
        weights = self.declaration.services[service].weights
        slots_by_region = {
            region: float(
                sum(target.slots for target in self.targets(service=service, region=region))
            )
            for region in self.regions(service=service)
        }
        if not weights:
            return normalised(slots_by_region)
        return normalised({region: float(weights.get(region, 0)) for region in slots_by_region})

    def has_link(self, *, source: str, destination: str) -> bool:
        """Return whether a link between two regions is declared."""
        return frozenset((source, destination)) in self._delay_by_region_pair

    def delay_ms(self, *, source: str, destination: str) -> float:
        """Return the declared one-way delay, or a very high value if there is no link."""
        if source == destination:
            return 0
        return self._delay_by_region_pair.get(
            frozenset((source, destination)), _DELAY_WITHOUT_LINK_MS
        )

    def longest_deadline_s(self) -> float:
        """Return the longest deadline of all services in seconds."""
        services = self.declaration.services.values()
        return max(service.deadline_ms for service in services) / _MS_PER_S
