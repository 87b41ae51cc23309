"""Distributes the requests of a route over its services by weight."""

from balsamrail.catalog.manifest_route import ManifestRoute


class WeightedRoundRobin:
    """Smooth weighted round robin with separate state for each route.

    In any sequence of requests, each service gets its share as closely as whole requests allow. A
    service that lacks capacity keeps its share: its requests are rejected, not moved to others.
    """

    __slots__ = ('_credit_by_service_by_route',)

    def __init__(self) -> None:
        self._credit_by_service_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: ManifestRoute) -> str:
        """Return the service of the next request of the route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credit_by_service = self._credit_by_service_by_route.setdefault(route.name, {})
        for part in parts:
            credit_by_service[part.service] = credit_by_service.get(part.service, 0) + part.weight
        chosen = max(parts, key=lambda candidate: credit_by_service[candidate.service]).service
        credit_by_service[chosen] -= sum(candidate.weight for candidate in parts)
        return chosen
