"""Routes as they apply to the requests of customers."""

from dataclasses import replace

from balsamrail.catalog.customer import Customer
from balsamrail.catalog.manifest_route import NO_REGIONS, ManifestRoute


class CustomerRoutes:
    """Routes with the priority and the regions of customers, created when they are first needed.

    Customers on the same terms share routes, so that the table stays small for thousands of
    customers. It belongs to one manifest, in which host name and path prefix identify a route.
    """

    __slots__ = ('_routes_by_place_by_terms',)

    def __init__(self) -> None:
        self._routes_by_place_by_terms: dict[
            tuple[int | None, frozenset[str]], dict[tuple[str, str], ManifestRoute]
        ] = {}

    def route_of(self, route: ManifestRoute, customer: Customer) -> ManifestRoute:
        """Return ``route`` as it applies to requests of ``customer``."""
        terms = (customer.priority, customer.allowed_regions)
        routes_by_place = self._routes_by_place_by_terms.get(terms)
        if routes_by_place is None:
            routes_by_place = self._routes_by_place_by_terms[terms] = {}
        place = (route.host, route.path_prefix)
        effective = routes_by_place.get(place)
        if effective is None:
            effective = routes_by_place[place] = adapt_route(route, customer)
        return effective


def adapt_route(route: ManifestRoute, customer: Customer) -> ManifestRoute:
    """Return a route with the customer's priority, confined to the regions that both allow."""
    priority = route.priority if customer.priority is None else customer.priority
    regions = route.allowed_regions or customer.allowed_regions
    if route.allowed_regions and customer.allowed_regions:
        regions = (route.allowed_regions & customer.allowed_regions) or NO_REGIONS
    return replace(route, priority=priority, allowed_regions=regions)
