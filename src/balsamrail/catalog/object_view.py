"""A view of the objects of one kind, merged from several sources."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject

_MAX_TOMBSTONES = 4_096


class ObjectView:
    """Merges listings and events in any order and keeps the latest state of each object.

    The store and several peers may report the same change at different times. An object is
    therefore replaced only by a higher revision, and a removed object is restored only with a
    higher revision than that of its tombstone. A listing of a newer era of the store replaces
    everything that older eras had, and its subscribers are notified even if it changes nothing::

        view = ObjectView(kind='servers')
        view.subscribe(lambda changes: ...)
        view.apply_listing(listing)
    """

    __slots__ = (
        '_subscribers',
        '_tombstone_revisions_by_name',
        'complete_revision',
        'is_listed',
        'kind',
        'objects_by_name',
    )

    def __init__(self, *, kind: str) -> None:
        self.kind = kind
        self.is_listed = False
        # All changes up to this revision of the store have been applied.
        self.complete_revision = Revision()
        self.objects_by_name: dict[str, StoreObject] = {}
        self._tombstone_revisions_by_name: dict[str, Revision] = {}
        self._subscribers: list[Callable[[list[ObjectEvent]], None]] = []

    def subscribe(self, on_change: Callable[[list[ObjectEvent]], None]) -> None:
        """Call ``on_change`` with the changes made by a listing or by events."""
        self._subscribers.append(on_change)

    def apply_listing(self, listing: Listing) -> None:
        """Apply a complete listing."""
        self.is_listed = True
        listed = {stored.name for stored in listing.objects}
        gone = [
            # Stamped with the listing, so that no older report restores the object at a follower.
            ObjectEvent(stored=replace(known, revision=listing.revision), is_removal=True)
            for name, known in self.objects_by_name.items()
            if name not in listed and known.revision <= listing.revision
        ]
        found = [ObjectEvent(stored=stored, is_removal=False) for stored in listing.objects]
        is_new_era = listing.revision.era > self.complete_revision.era
        new_events = [event for event in (*gone, *found) if self._merge(event)]
        self.note_complete(listing.revision)
        if new_events or is_new_era:
            self._notify(new_events)

    def note_complete(self, revision: Revision) -> None:
        """Record that all changes up to a revision have been applied."""
        self.complete_revision = max(self.complete_revision, revision)

    def apply_events(self, events: Iterable[ObjectEvent]) -> None:
        """Apply the events that are newer than the current state."""
        new_events = [event for event in events if self._merge(event)]
        if new_events:
            self._notify(new_events)

    def dump(self) -> dict[str, Any]:
        """Return a summary as plain data."""
        return {
            'kind': self.kind,
            'objects': len(self.objects_by_name),
            'complete_revision': str(self.complete_revision),
            'highest_revision': str(
                max(
                    (stored.revision for stored in self.objects_by_name.values()),
                    default=Revision(),
                )
            ),
        }

    def _notify(self, events: list[ObjectEvent]) -> None:
        for on_change in self._subscribers:
            on_change(events)

    def _merge(self, event: ObjectEvent) -> bool:
        stored = event.stored
        known = self.objects_by_name.get(stored.name)
        if event.is_removal:
            if known is None or known.revision > stored.revision:
                return False
            del self.objects_by_name[stored.name]
            self._add_tombstone(stored)
            return True
        if known is not None and known.revision >= stored.revision:
            return False
        if known is None and stored.revision <= self.complete_revision:
            # It was removed before the listing that is complete up to this revision.
            return False
        tombstone_revision = self._tombstone_revisions_by_name.get(stored.name)
        if tombstone_revision is not None and tombstone_revision >= stored.revision:
            return False
        self.objects_by_name[stored.name] = stored
        return True

    def _add_tombstone(self, stored: StoreObject) -> None:
        if len(self._tombstone_revisions_by_name) >= _MAX_TOMBSTONES:
            self._tombstone_revisions_by_name.pop(next(iter(self._tombstone_revisions_by_name)))
        self._tombstone_revisions_by_name[stored.name] = stored.revision
