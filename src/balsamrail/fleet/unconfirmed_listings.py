"""Listings from hosts that have not shown yet that they receive the store's changes."""

from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.stored_objects import Listing


class UnconfirmedListings:
    """Holds the listings of sources back until these are known to be current.

    A host that has just started knows no revisions by which it could recognise an outdated
    listing, so that it would use targets that have left and manifests that were replaced.
    """

    __slots__ = ('_listings_by_host',)

    def __init__(self) -> None:
        self._listings_by_host: dict[str, list[tuple[ObjectView, Listing]]] = {}

    def hold(self, host: str, view: ObjectView, listing: Listing) -> None:
        """Keep a listing that ``host`` sent for ``view``."""
        self._listings_by_host.setdefault(host, []).append((view, listing))

    def apply(self, host: str) -> None:
        """Apply the listings of a host, which has turned out to be current."""
        for view, listing in self._listings_by_host.pop(host, ()):
            view.apply_listing(listing)

    def apply_all(self) -> None:
        """Apply all listings; of several the views keep the latest revision of each object."""
        for host in list(self._listings_by_host):
            self.apply(host)

    def discard(self, host: str) -> None:
        """Drop the listings of a host that is not followed any more."""
        self._listings_by_host.pop(host, None)
