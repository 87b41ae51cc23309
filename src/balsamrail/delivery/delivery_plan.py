"""Routing decision for the attempts of a request."""

from dataclasses import dataclass

from balsamrail.catalog.customer import Customer
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.placement_key import PlacementKey
from balsamrail.placement.retry_budget import RetryBudget


@dataclass(slots=True, kw_only=True, frozen=True)
class DeliveryPlan:
    """The route and the placement key of a request under one version of the manifest.

    :param budget: retry budget of the service.
    """

    manifest_version: int
    route: ManifestRoute
    placement_key: PlacementKey
    budget: RetryBudget
    customer: Customer | None = None
