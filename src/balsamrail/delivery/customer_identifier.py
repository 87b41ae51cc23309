"""Identifies the customers that send requests."""

from balsamrail.catalog.customer import Customer
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.manifest_freshness import ManifestFreshness
from balsamrail.errors import ManifestUnconfirmedError, UnknownCustomerError, UnknownKeyError

_RETRY_AFTER_S = 0.5


class CustomerIdentifier:
    """Finds the customer of a new request by its API key, or by the host that received it.

    :param freshness: tells whether keys of the manifest in force can be relied on.
    """

    __slots__ = ('_freshness',)

    def __init__(self, *, freshness: ManifestFreshness) -> None:
        self._freshness = freshness

    def identify(
        self, request: EntryRequest, route: ManifestRoute, *, manifest: Manifest
    ) -> Customer | None:
        """Return who sent a request, ``None`` if it may be served without a customer.

        :raises UnknownKeyError: if the request needs a key and has none of a customer.
        :raises ManifestUnconfirmedError: if the host cannot tell at the moment.
        :raises UnknownCustomerError: if another host identified a customer that this one does not know.
        """
        handover = request.handover
        if handover is not None and handover.customer is not None:
            return _named_customer(handover.customer, manifest)
        if not manifest.has_customers:
            return None
        customer = manifest.customer_by_key(request.api_key)
        if customer is None and route.is_anonymous:
            return None
        # Before the key is rejected too: callers do not repeat a request after that, and a newer
        # manifest may have the key, or accept requests of the route without one.
        if not self._freshness.is_confirmed():
            raise ManifestUnconfirmedError(
                detail='the host does not know whether API keys have been withdrawn',
                retry_after_s=_RETRY_AFTER_S,
            )
        if customer is None:
            detail = 'the API key is unknown' if request.api_key else 'the request has no API key'
            raise UnknownKeyError(detail=detail)
        return customer


def _named_customer(name: str, manifest: Manifest) -> Customer:
    customer = manifest.customer_by_name(name)
    if customer is None:
        raise UnknownCustomerError(
            detail=f'manifest version {manifest.version} of this host does not have the customer',
            retry_after_s=_RETRY_AFTER_S,
        )
    return customer
