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

    :param content_version: returns the version that the spec of an object states, ``None`` if it
        states none. An object with a version is never removed or replaced by a lower version: it
        keeps its spec and takes the higher revision. The store can come back without the latest
        version, and followers and hosts that restart have to get it nevertheless.
    """

    __slots__ = (
        '_content_version',
        '_subscribers',
        '_tombstone_revisions_by_name',
        'complete_revision',
        'is_listed',
        'kind',
        'objects_by_name',
    )

    def __init__(
        self,
        *,
        kind: str,
        content_version: Callable[[StoreObject], int | None] | None = None,
    ) -> None:
        self.kind = kind
        self._content_version = content_version
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
            ObjectEvent(
                # Stamped with the listing, so that no older report restores it at a follower.
                stored=replace(known, revision=listing.revision),
                is_removal=True,
                is_lost=known.revision.era < listing.revision.era,
            )
            for name, known in self.objects_by_name.items()
            if name not in listed and known.revision <= listing.revision
        ]
        found = [ObjectEvent(stored=stored, is_removal=False) for stored in listing.objects]
        is_new_era = listing.revision.era > self.complete_revision.era
        new_events = self._merge_all([*gone, *found])
        self.note_complete(listing.revision)
        if new_events or is_new_era:
            self._notify(new_events)

    def note_complete(self, revision: Revision) -> None:
        """Record that all changes up to a revision have been applied."""
        self.complete_revision = max(self.complete_revision, revision)

    def apply_events(self, events: Iterable[ObjectEvent]) -> None:
        """Apply the events that are newer than the current state."""
        new_events = self._merge_all(events)
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
        """Call all subscribers, also after one has failed.

        :raises ExceptionGroup: the errors of subscribers.
        """
        errors = []
        for on_change in self._subscribers:
            try:
                on_change(events)
            except Exception as error:
                errors.append(error)
        if errors:
            raise ExceptionGroup(f'subscribers to {self.kind} failed', errors)

    def _merge_all(self, events: Iterable[ObjectEvent]) -> list[ObjectEvent]:
        """Apply events and return those that changed the view, with the specs that were kept."""
        new_events = []
        for event in events:
            newest = self._with_newest_content(event)
            if newest is not None:
                if self.objects_by_name.get(newest.name) != newest:
                    self.objects_by_name[newest.name] = newest
                    new_events.append(ObjectEvent(stored=newest, is_removal=False))
            elif self._merge(event):
                new_events.append(event)
        return new_events

    def _with_newest_content(self, event: ObjectEvent) -> StoreObject | None:
        """Return the object of an event as it is to be kept; ``None`` if it states no version."""
        stored = event.stored
        known = self.objects_by_name.get(stored.name)
        if self._content_version is None:
            return None
        if stored == known and not event.is_removal:
            return known
        version = None if event.is_removal else self._content_version(stored)
        if version is None and not event.is_removal:
            return None
        known_version = None if known is None else self._content_version(known)
        if known is None or known_version is None:
            return None if version is None else stored
        is_newer = version is not None and (
            (version, stored.revision) > (known_version, known.revision)
        )
        newest = stored if is_newer else known
        return replace(newest, revision=max(known.revision, stored.revision))

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
