"""The manifest that the operators provide."""

from dataclasses import dataclass, field

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.catalog.customer import Customer
from balsamrail.catalog.customer_routes import CustomerRoutes
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.catalog.rejected_customer import RejectedCustomer
from balsamrail.catalog.service_spec import ServiceSpec


@dataclass(slots=True, kw_only=True, frozen=True)
class Manifest:
    """One version of the routes, services, limits and customers.

    Of the routes of a host name, the one with the longest matching path prefix is selected::

        route = manifest.route_for(host='jepu9.example', path='/lepu270/2f?day=3')

    :param customers: the customers, in the order of the manifest, with distinct names.
    :param rejected_customers: the entries of customers that were left out.
    :param shared_keys: the names of the customer that has a key and of a later one that lists it too.
    """

    version: int
    routes: tuple[ManifestRoute, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits
    customers: tuple[Customer, ...] = ()
    rejected_customers: tuple[RejectedCustomer, ...] = ()
    shared_keys: list[tuple[str, str]] = field(init=False, default_factory=list)
    _routes_by_host: dict[str, dict[str, ManifestRoute]] = field(
        init=False, repr=False, default_factory=dict
    )
    _priorities: set[int] = field(init=False, repr=False, default_factory=set)
    _customers_by_key: dict[str, Customer] = field(init=False, repr=False, default_factory=dict)
    _customers_by_name: dict[str, Customer] = field(init=False, repr=False, default_factory=dict)
    _customer_routes: CustomerRoutes = field(
        init=False, repr=False, compare=False, default_factory=CustomerRoutes
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            self._priorities.add(route.priority)
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route
        for customer in self.customers:
            self._customers_by_name[customer.name] = customer
            self._add_keys(customer)

    @property
    def has_customers(self) -> bool:
        """Whether requests need API keys.

        They do if the only entries of customers are unreadable: a fault in an entry must not open
        the routes to everyone.
        """
        return bool(self.customers or self.rejected_customers)

    def customer_by_key(self, key: str) -> Customer | None:
        """Return the customer that has an API key, ``None`` if there is none."""
        return self._customers_by_key.get(key)

    def customer_by_name(self, name: str) -> Customer | None:
        """Return a customer by its name, ``None`` if there is none."""
        return self._customers_by_name.get(name)

    def effective_route(self, route: ManifestRoute, customer: Customer | None) -> ManifestRoute:
        """Return a route of this manifest with the terms of ``customer``."""
        return route if customer is None else self._customer_routes.route_of(route, customer)

    def is_most_urgent(self, route: ManifestRoute) -> bool:
        """Return whether a route has the highest priority, and others have a lower one."""
        return len(self._priorities) > 1 and route.priority == min(self._priorities)

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

    def _add_keys(self, customer: Customer) -> None:
        for key in customer.api_keys:
            owner = self._customers_by_key.setdefault(key, customer)
            names = (owner.name, customer.name)
            if owner is not customer and names not in self.shared_keys:
                self.shared_keys.append(names)
