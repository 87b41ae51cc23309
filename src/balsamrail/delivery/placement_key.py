"""Inputs that determine the target of a request."""

from dataclasses import dataclass
from typing import Self

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.entry_request import EntryRequest


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementKey:
    """The service of a request and the key by which a target is selected."""

    service: str
    object_key: str

    @classmethod
    def of(cls, route: ManifestRoute, service: str, request: EntryRequest) -> Self:
        """Return the key of a request that is routed to one service of its route.

        Requests without an affinity key are keyed by their request id, which distributes them
        evenly.
        """
        is_sticky = route.is_sticky and request.object_key is not None
        name = request.object_key if is_sticky else request.request_id
        return cls(service=service, object_key=f'{route.host}{route.path_prefix}{name}')
