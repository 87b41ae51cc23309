"""Updates the catalog from objects of the platform's store."""

import asyncio
from collections.abc import Callable

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.delayed_removal import DelayedRemoval
from balsamrail.catalog.era_tracker import EraTracker
from balsamrail.catalog.grace_timers import GraceTimers
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.outdated_entries import OutdatedEntries
from balsamrail.catalog.stored_objects import ObjectEvent, StoreObject
from balsamrail.environment import Environment
from balsamrail.errors import EntryError
from balsamrail.platform.parsed_manifests import ParsedManifests
from balsamrail.platform.target_reader import read_target

MANIFESTS = 'config'
TARGETS = 'servers'
EVACUATIONS = 'evacuations'
_MANIFEST_NAME = 'main'
# A target whose registration expired while the store was unavailable registers again within this
# time after the store is back. What the store lost by a return from an older copy is written again
# in that time too.
_REGISTRATION_GRACE_S = 2.0
# The entry of a target that does not renew it is removed after this number of heartbeats, so that an
# entry which is still there then is believed.
_LAPSE_HEARTBEATS = 3
# The store removes such an entry a little after its last heartbeat is due.
_LAPSE_MARGIN_S = 1.0


class CatalogReader:
    """Decodes the manifest, the targets and the evacuations when their objects change.

    :param store_up_for_s: returns for how many seconds the store has been reachable.
    :param on_new_era: called once when the store has come back from an older copy.
    """

    __slots__ = (
        '_catalog',
        '_delayed_removal',
        '_environment',
        '_lost_evacuations',
        '_newest_era',
        '_on_new_era',
        '_outdated_entries',
        '_parsed_manifests',
        '_store_up_for_s',
        '_suspicion_timer',
        '_unbelieved_ids',
        'views',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        store_up_for_s: Callable[[], float],
        on_new_era: Callable[[], None] | None = None,
    ) -> None:
        self._environment = environment
        self._catalog = catalog
        self._store_up_for_s = store_up_for_s
        self._delayed_removal = DelayedRemoval(catalog=catalog)
        self._on_new_era = on_new_era
        self._newest_era = EraTracker()
        self._outdated_entries = OutdatedEntries()
        self._suspicion_timer: asyncio.TimerHandle | None = None
        self._unbelieved_ids: set[str] = set()
        self._parsed_manifests = ParsedManifests()
        manifests = ObjectView(kind=MANIFESTS, content_version=self._manifest_version)
        targets = ObjectView(kind=TARGETS)
        evacuations = ObjectView(kind=EVACUATIONS)
        self._lost_evacuations = GraceTimers(
            on_end=lambda _: self._publish_evacuations(evacuations)
        )
        self.views = (manifests, targets, evacuations)
        for view in self.views:
            view.subscribe(self._make_era_observer(view))
        manifests.subscribe(self._on_manifests_changed)
        targets.subscribe(self._on_targets_changed)
        evacuations.subscribe(lambda events: self._on_evacuations_changed(evacuations, events))

    def _make_era_observer(self, view: ObjectView) -> Callable[[list[ObjectEvent]], None]:
        known_era = EraTracker()

        def observe(events: list[ObjectEvent]) -> None:
            revision = view.complete_revision
            old_era = known_era.era
            if self._newest_era.advance(revision.era) and self._on_new_era is not None:
                self._on_new_era()
            if known_era.advance(revision.era):
                self._environment.metrics.count('store_era_changes')
                self._environment.log.event(
                    'store_era_changed',
                    kind=view.kind,
                    old=old_era,
                    new=revision.era,
                    revision=revision.number,
                    objects=len(view.objects_by_name),
                    removed=sum(event.is_removal for event in events),
                )
                if view.kind == TARGETS:
                    self._suspect_entries(view)
                    # What is still missing can be written again only now.
                    self._delayed_removal.restart(after_s=_REGISTRATION_GRACE_S)
                elif view.kind == EVACUATIONS:
                    self._lost_evacuations.restart_all(after_s=_REGISTRATION_GRACE_S)

        return observe

    def _suspect_entries(self, targets: ObjectView) -> None:
        self._outdated_entries.is_suspect = True
        if self._suspicion_timer is not None:
            self._suspicion_timer.cancel()
        lapse_s = _LAPSE_HEARTBEATS * self._environment.settings.store.target_heartbeat_s
        self._suspicion_timer = asyncio.get_running_loop().call_later(
            lapse_s + _LAPSE_MARGIN_S, self._believe_all, targets
        )

    def _believe_all(self, targets: ObjectView) -> None:
        self._outdated_entries.is_suspect = False
        for target_id in sorted(self._unbelieved_ids):
            stored = targets.objects_by_name.get(target_id)
            if stored is not None:
                self._put_target(stored)
        self._unbelieved_ids.clear()
        self._catalog.publish()

    def _manifest_version(self, stored: StoreObject) -> int | None:
        if stored.name != _MANIFEST_NAME:
            return None
        return self._parsed_manifests.version(stored.spec)

    def _on_manifests_changed(self, events: list[ObjectEvent]) -> None:
        for event in events:
            if event.stored.name != _MANIFEST_NAME or event.is_removal:
                continue
            try:
                manifest = self._parsed_manifests.read(event.stored.spec)
            except EntryError as error:
                self._report_rejected('manifest_rejected', event.stored, error)
            else:
                if self._catalog.offer_manifest(manifest):
                    self._report_customers(manifest)

    def _on_targets_changed(self, events: list[ObjectEvent]) -> None:
        for event in events:
            if event.is_removal:
                if not event.is_lost:
                    self._outdated_entries.leave(event.stored.name)
                self._remove_target(
                    event.stored.name,
                    reason='removed',
                    up_for_s=0 if event.is_lost else self._store_up_for_s(),
                )
            else:
                self._put_target(event.stored)
        self._catalog.publish()

    def _put_target(self, stored: StoreObject) -> None:
        try:
            entry = read_target(
                target_id=stored.name,
                spec=stored.spec,
                region_by_availability_zone=(
                    self._environment.settings.region_by_availability_zone
                ),
            )
        except EntryError as error:
            self._report_rejected('target_rejected', stored, error)
            self._remove_target(stored.name, reason='unreadable', up_for_s=self._store_up_for_s())
            return
        if self._outdated_entries.contains(entry):
            self._unbelieved_ids.add(stored.name)
            self._environment.log.event(
                'target_entry_outdated', target=stored.name, sequence=entry.sequence
            )
            if not self._outdated_entries.has_left(stored.name):
                self._delayed_removal.cancel(stored.name)
            return
        self._unbelieved_ids.discard(stored.name)
        self._outdated_entries.believe(entry)
        self._delayed_removal.cancel(stored.name)
        self._catalog.put_target(entry)

    def _remove_target(self, target_id: str, *, reason: str, up_for_s: float) -> None:
        after_s = _REGISTRATION_GRACE_S - up_for_s
        self._delayed_removal.remove(target_id, after_s=after_s, reason=reason)

    def _on_evacuations_changed(self, view: ObjectView, events: list[ObjectEvent]) -> None:
        for event in events:
            self._lost_evacuations.cancel(event.stored.name)
            if event.is_lost:
                self._lost_evacuations.start(event.stored.name, after_s=_REGISTRATION_GRACE_S)
        self._publish_evacuations(view)

    def _publish_evacuations(self, view: ObjectView) -> None:
        zones = frozenset((*view.objects_by_name, *self._lost_evacuations))
        self._catalog.set_evacuated(zones)

    def _report_customers(self, manifest: Manifest) -> None:
        for rejected in manifest.rejected_customers:
            self._environment.metrics.count('customer_rejected')
            self._environment.log.event(
                'customer_rejected', customer=rejected.name, reason=rejected.fault
            )
        for owner, other in manifest.shared_keys:
            self._environment.metrics.count('customer_key_shared')
            self._environment.log.event('customer_key_shared', customer=owner, other=other)

    def _report_rejected(self, event: str, stored: StoreObject, error: EntryError) -> None:
        self._environment.metrics.count(event)
        self._environment.log.event(event, object=stored.name, reason=error)
