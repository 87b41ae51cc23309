"""Routes requests by the manifest in force."""

from dataclasses import replace

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.customer import Customer
from balsamrail.catalog.customer_routes import adapt_route
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.manifest_route import NO_REGIONS, ManifestRoute
from balsamrail.delivery.customer_identifier import CustomerIdentifier
from balsamrail.delivery.delivery_plan import DeliveryPlan
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.manifest_freshness import ManifestFreshness
from balsamrail.delivery.placement_key import PlacementKey
from balsamrail.errors import NoTargetError, NotReadyError, UnknownRouteError
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.weighted_round_robin import WeightedRoundRobin

_NOT_READY_RETRY_AFTER_S = 0.5
# Only another manifest allows a region.
_NO_REGION_RETRY_AFTER_S = 1.0


class DeliveryPlanner:
    """Finds the route and the customer of a request, and updates them with the manifest.

    Customers are identified once, when their requests arrive: a request in progress keeps its
    customer, or none, whatever becomes of its key.

    :param freshness: tells whether API keys of the manifest in force can be relied on.
    """

    __slots__ = ('_budgets', '_catalog', '_identifier', '_part_picker')

    def __init__(
        self, *, catalog: Catalog, budgets: RetryBudgets, freshness: ManifestFreshness
    ) -> None:
        self._catalog = catalog
        self._budgets = budgets
        self._identifier = CustomerIdentifier(freshness=freshness)
        self._part_picker = WeightedRoundRobin()

    def plan(self, request: EntryRequest) -> DeliveryPlan:
        """Return the plan of a new request.

        :raises RequestError: if the manifest has not been received or has no route for the request, if
            the request is not accepted without a customer, or if no region may process it.
        """
        manifest, route = self._find_route(request)
        customer = self._identifier.identify(request, route, manifest=manifest)
        _name_customer(request, customer, manifest)
        if manifest.effective_route(route, customer).allowed_regions == NO_REGIONS:
            raise NoTargetError(
                detail='the route and the customer allow no region in common',
                retry_after_s=_NO_REGION_RETRY_AFTER_S,
            )
        return self._plan(manifest, route, self._part_picker.pick(route), request, customer)

    def check_route(self, request: EntryRequest) -> None:
        """Check the route and the customer of a request whose body has not been received.

        :raises RequestError: if the manifest has not been received or has no route for the request, or if
            the request is not accepted without a customer.
        """
        manifest, route = self._find_route(request)
        self._identifier.identify(request, route, manifest=manifest)

    def route_of(self, request: EntryRequest) -> ManifestRoute | None:
        """Return the route of a request, ``None`` if no route is known for it."""
        manifest = self._catalog.manifest
        if manifest is None:
            return None
        return manifest.route_for(host=request.host, path=request.path)

    def refreshed(self, plan: DeliveryPlan, request: EntryRequest) -> DeliveryPlan:
        """Return the plan of a request in progress under the current manifest.

        The request keeps its service as long as its route includes that service. If its route no
        longer exists, it keeps the old route with its allowed regions: a shorter prefix may allow
        more regions. If its customer is still in the manifest, the customer's new terms apply.
        """
        manifest = self._catalog.manifest
        if manifest is None or manifest.version == plan.manifest_version:
            return plan
        route = manifest.route_for(host=request.host, path=request.path)
        customer = _current_customer(plan, manifest)
        _name_customer(request, customer, manifest)
        if route is None or route.path_prefix != plan.route.path_prefix:
            return _with_terms_of(customer, plan)
        service = plan.placement_key.service
        if service not in {part.service for part in route.parts}:
            service = self._part_picker.pick(route)
        return self._plan(manifest, route, service, request, customer)

    def _find_route(self, request: EntryRequest) -> tuple[Manifest, ManifestRoute]:
        manifest = self._catalog.manifest
        if manifest is None:
            raise NotReadyError(
                detail='the host has not received the manifest yet',
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        route = manifest.route_for(host=request.host, path=request.path)
        if route is None:
            raise UnknownRouteError(
                detail=f'manifest version {manifest.version} has no route for the host name and path'
            )
        return manifest, route

    def _plan(
        self,
        manifest: Manifest,
        route: ManifestRoute,
        service: str,
        request: EntryRequest,
        customer: Customer | None,
    ) -> DeliveryPlan:
        return DeliveryPlan(
            manifest_version=manifest.version,
            route=manifest.effective_route(route, customer),
            placement_key=PlacementKey.of(route, service, request),
            budget=self._budgets.of(service),
            base_route=route,
            customer=customer,
            is_urgent=manifest.is_most_urgent(route),
        )


def _name_customer(request: EntryRequest, customer: Customer | None, manifest: Manifest) -> None:
    request.hides_credentials = request.hides_credentials or manifest.has_customers
    request.customer_name = None if customer is None else customer.name


def _current_customer(plan: DeliveryPlan, manifest: Manifest) -> Customer | None:
    if plan.customer is None:
        return None
    return manifest.customer_by_name(plan.customer.name) or plan.customer


def _with_terms_of(customer: Customer | None, plan: DeliveryPlan) -> DeliveryPlan:
    """Return a plan whose route no longer exists, with the current terms of its customer."""
    if customer is None or customer == plan.customer:
        return plan
    return replace(plan, customer=customer, route=adapt_route(plan.base_route, customer))
