"""The manifest that the operators provide."""

from dataclasses import dataclass, field

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.catalog.customer import Customer
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.catalog.service_spec import ServiceSpec


@dataclass(slots=True, kw_only=True, frozen=True)
class Manifest:
    """One version of the routes, services and limits.

    Of the routes of a host name, the one with the longest matching path prefix is selected::

        route = manifest.route_for(host='jepu9.example', path='/lepu270/2f?day=3')
    """

    version: int
    routes: tuple[ManifestRoute, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits
    customers: tuple[Customer, ...] = ()
    _routes_by_host: dict[str, dict[str, ManifestRoute]] = field(
        init=False, repr=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route

    def route_for(self, *, host: str, path: str) -> ManifestRoute | None:
        """Return the route of a request, ``None`` if none matches."""
        route_by_prefix = self._routes_by_host.get(host)
        if route_by_prefix is None:
            return None
        prefix = path.partition('?')[0]
        while prefix:
            # Every prefix ends with a slash.
            prefix = prefix[: prefix.rfind('/') + 1]
            route = route_by_prefix.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None

    def allowed_regions_of_host(self, *, host: str) -> frozenset[str]:
        """Return all regions to which routes of a host name are confined, empty if none is."""
        route_by_prefix = self._routes_by_host.get(host, {})
        return frozenset().union(*(route.allowed_regions for route in route_by_prefix.values()))
