"""Deals the requests of a route out to its parts."""

from balsamrail.catalog.manifest_route import ManifestRoute


class PartPicker:
    """Smooth weighted round robin, kept for each route.

    Each part gets its share of any run of requests as closely as whole requests allow. A part
    that is short of room keeps its share: its requests are refused and not moved.
    """

    __slots__ = ('_credit_by_service_by_route',)

    def __init__(self) -> None:
        self._credit_by_service_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: ManifestRoute) -> str:
        """Return the service that takes the next request of the route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credit_by_service = self._credit_by_service_by_route.setdefault(route.name, {})
        for part in parts:
            credit_by_service[part.service] = credit_by_service.get(part.service, 0) + part.weight
        chosen = max(parts, key=lambda candidate: credit_by_service[candidate.service]).service
        credit_by_service[chosen] -= sum(candidate.weight for candidate in parts)
        return chosen
