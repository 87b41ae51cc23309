"""Routes requests by the manifest in force."""

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.delivery_plan import DeliveryPlan
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.placement_key import PlacementKey
from balsamrail.errors import NotReadyError, UnknownRouteError
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.weighted_round_robin import WeightedRoundRobin

_NOT_READY_RETRY_AFTER_S = 0.5


class DeliveryPlanner:
    """Finds the route of a request, and updates it when the manifest changes during the request."""

    __slots__ = ('_budgets', '_catalog', '_part_picker')

    def __init__(self, *, catalog: Catalog, budgets: RetryBudgets) -> None:
        self._catalog = catalog
        self._budgets = budgets
        self._part_picker = WeightedRoundRobin()

    def plan(self, request: EntryRequest) -> DeliveryPlan:
        """Return the plan of a new request.

        :raises RequestError: if the manifest has not been received or has no route for the request.
        """
        manifest, route = self._find_route(request)
        return self._plan(manifest, route, self._part_picker.pick(route), request)

    def check_route(self, request: EntryRequest) -> None:
        """Check that there is a route for a request whose body has not been received.

        :raises RequestError: if the manifest has not been received or has no route for the request.
        """
        self._find_route(request)

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
        more regions.
        """
        manifest = self._catalog.manifest
        if manifest is None or manifest.version == plan.manifest_version:
            return plan
        route = manifest.route_for(host=request.host, path=request.path)
        if route is None or route.path_prefix != plan.route.path_prefix:
            return plan
        service = plan.placement_key.service
        if service not in {part.service for part in route.parts}:
            service = self._part_picker.pick(route)
        return self._plan(manifest, route, service, request)

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
        self, manifest: Manifest, route: ManifestRoute, service: str, request: EntryRequest
    ) -> DeliveryPlan:
        return DeliveryPlan(
            manifest_version=manifest.version,
            route=route,
            placement_key=PlacementKey.of(route, service, request),
            budget=self._budgets.of(service),
        )
