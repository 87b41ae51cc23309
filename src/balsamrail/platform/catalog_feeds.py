"""Fills the catalog from the platform's store."""

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.feed import Feed
from balsamrail.catalog.object_source import ObjectSource
from balsamrail.catalog.removal_grace import RemovalGrace
from balsamrail.catalog.store_contact import StoreContact
from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject
from balsamrail.environment import Environment
from balsamrail.errors import EntryError
from balsamrail.platform.manifest_reader import read_manifest
from balsamrail.platform.target_reader import read_target

MANIFESTS = 'config'
TARGETS = 'servers'
EVACUATIONS = 'evacuations'
_MANIFEST_NAME = 'main'
# A target that lapsed while the store was away registers again within this time of its return.
_REGISTRATION_GRACE_S = 2.0


class CatalogFeeds:
    """Follows the manifest, the targets and the evacuations."""

    __slots__ = ('_catalog', '_contact', '_environment', '_grace', 'feeds')

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        source: ObjectSource,
        contact: StoreContact,
    ) -> None:
        self._environment = environment
        self._catalog = catalog
        self._contact = contact
        self._grace = RemovalGrace(catalog=catalog)
        self.feeds = [
            Feed(
                environment=environment,
                source=source,
                kind=kind,
                on_listing=on_listing,
                on_event=on_event,
            )
            for kind, on_listing, on_event in (
                (MANIFESTS, self._list_manifests, self._change_manifest),
                (TARGETS, self._list_targets, self._change_target),
                (EVACUATIONS, self._list_evacuations, self._change_evacuation),
            )
        ]
        for feed in self.feeds:
            contact.subscribe(feed.list_again)

    def _list_manifests(self, listing: Listing) -> None:
        for stored in listing.objects:
            self._take_manifest(stored)

    def _change_manifest(self, event: ObjectEvent) -> None:
        if not event.is_removal:
            self._take_manifest(event.stored)

    def _take_manifest(self, stored: StoreObject) -> None:
        if stored.name != _MANIFEST_NAME:
            return
        try:
            self._catalog.offer_manifest(read_manifest(stored.spec))
        except EntryError as error:
            self._reject('manifest_rejected', stored, error)

    def _list_targets(self, listing: Listing) -> None:
        listed = {stored.name for stored in listing.objects}
        for stored in listing.objects:
            self._take_target(stored)
        for target_id in list(self._catalog.entries_by_id):
            if target_id not in listed:
                self._remove_target(target_id, reason='not listed')

    def _change_target(self, event: ObjectEvent) -> None:
        if event.is_removal:
            self._remove_target(event.stored.name, reason='removed')
        else:
            self._take_target(event.stored)

    def _take_target(self, stored: StoreObject) -> None:
        regions = self._environment.settings.region_by_availability_zone
        try:
            entry = read_target(
                target_id=stored.name,
                spec=stored.spec,
                region_by_availability_zone=regions,
            )
        except EntryError as error:
            self._reject('target_rejected', stored, error)
            return
        self._grace.keep(stored.name)
        self._catalog.put_target(entry)

    def _remove_target(self, target_id: str, *, reason: str) -> None:
        after_s = _REGISTRATION_GRACE_S - self._contact.up_for_s()
        self._grace.remove(target_id, after_s=after_s, reason=reason)

    def _list_evacuations(self, listing: Listing) -> None:
        self._catalog.set_evacuated(frozenset(stored.name for stored in listing.objects))

    def _change_evacuation(self, event: ObjectEvent) -> None:
        zones = set(self._catalog.evacuated_zones)
        if event.is_removal:
            zones.discard(event.stored.name)
        else:
            zones.add(event.stored.name)
        self._catalog.set_evacuated(frozenset(zones))

    def _reject(self, event: str, stored: StoreObject, error: EntryError) -> None:
        self._environment.metrics.count(event)
        self._environment.log.event(event, object=stored.name, reason=error)
