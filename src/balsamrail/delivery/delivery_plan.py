"""Routing decision for the attempts of a request."""

from dataclasses import dataclass

from balsamrail.catalog.customer import Customer
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.placement_key import PlacementKey
from balsamrail.placement.retry_budget import RetryBudget


@dataclass(slots=True, kw_only=True, frozen=True)
class DeliveryPlan:
    """The route and the placement key of a request under one version of the manifest.

    :param route: the route with the priority and the regions of the customer.
    :param base_route: the route as the manifest has it.
    :param customer: who sent the request, ``None`` if it belongs to no customer.
    :param budget: retry budget of the service.
    :param is_urgent: whether it comes before other requests of its customer.
    """

    manifest_version: int
    route: ManifestRoute
    placement_key: PlacementKey
    budget: RetryBudget
    base_route: ManifestRoute
    customer: Customer | None = None
    is_urgent: bool = False
