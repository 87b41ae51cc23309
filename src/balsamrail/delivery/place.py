"""What decides where a request is placed."""

from dataclasses import dataclass
from typing import Self

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.entry_request import EntryRequest


@dataclass(slots=True, kw_only=True, frozen=True)
class Place:
    """The service that takes a request and the object that the request is about."""

    service: str
    object_key: str

    @classmethod
    def of(cls, route: ManifestRoute, service: str, request: EntryRequest) -> Self:
        """Return the place of a request that goes to a part of its route.

        Without an object each request counts as one of its own, which spreads them evenly.
        """
        is_sticky = route.is_sticky and request.object_key is not None
        name = request.object_key if is_sticky else request.request_id
        return cls(service=service, object_key=f'{route.host}{route.path_prefix}{name}')
