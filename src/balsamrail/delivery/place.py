"""What decides where a request is placed."""

from dataclasses import dataclass
from typing import Self

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.placement.scope import Scope, bucket_of


@dataclass(slots=True, kw_only=True, frozen=True)
class Place:
    """The service that takes a request and the object that the request is about.

    :param scope: the name of the :class:`balsamrail.placement.scope.Scope`.
    :param bucket: the bucket of the object, ``None`` if targets do not remember objects.
    """

    service: str
    scope: str
    object_key: str
    bucket: int | None

    @classmethod
    def of(cls, route: ManifestRoute, service: str, request: EntryRequest) -> Self:
        """Return the place of a request that goes to a part of its route."""
        scope = Scope(service=service, allowed_regions=route.allowed_regions)
        key = f'{route.host}{route.path_prefix}{request.object_key or request.request_id}'
        is_sticky = route.is_sticky and request.object_key is not None
        return cls(
            service=service,
            scope=scope.name,
            object_key=key,
            bucket=bucket_of(key) if is_sticky else None,
        )
