"""The objects of one kind, merged from several sources."""

from collections.abc import Callable, Iterable
from typing import Any

from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject

_MOST_REMOVED = 4_096


class ObjectView:
    """Takes listings and events in any order and keeps the newest state of each object.

    The store and several peers may tell of the same change, one of them later than the others.
    An object therefore only moves to a higher revision, and one that was removed comes back only
    with a higher revision than it had::

        view = ObjectView(kind='servers')
        view.subscribe(lambda changes: ...)
        view.apply_listing(listing)
    """

    __slots__ = (
        '_removed_by_name',
        '_subscribers',
        'complete_to',
        'is_listed',
        'kind',
        'objects_by_name',
    )

    def __init__(self, *, kind: str) -> None:
        self.kind = kind
        self.is_listed = False
        # Every change up to this revision of the store is known.
        self.complete_to = 0
        self.objects_by_name: dict[str, StoreObject] = {}
        self._removed_by_name: dict[str, int] = {}
        self._subscribers: list[Callable[[list[ObjectEvent]], None]] = []

    def subscribe(self, changed: Callable[[list[ObjectEvent]], None]) -> None:
        """Call ``changed`` with the changes that a listing or some events made."""
        self._subscribers.append(changed)

    def apply_listing(self, listing: Listing) -> None:
        """Take over everything that existed at a revision."""
        self.is_listed = True
        listed = {stored.name for stored in listing.objects}
        gone = [
            ObjectEvent(stored=known, is_removal=True)
            for name, known in self.objects_by_name.items()
            if name not in listed and known.revision <= listing.revision
        ]
        found = [ObjectEvent(stored=stored, is_removal=False) for stored in listing.objects]
        self.apply_events([*gone, *found])
        self.note_complete(listing.revision)

    def note_complete(self, revision: int) -> None:
        """Note that all changes up to a revision have been applied."""
        self.complete_to = max(self.complete_to, revision)

    def apply_events(self, events: Iterable[ObjectEvent]) -> None:
        """Take over changes that are news."""
        news = [event for event in events if self._merge(event)]
        if news:
            for changed in self._subscribers:
                changed(news)

    def dump(self) -> dict[str, Any]:
        """Return how much is known."""
        return {
            'kind': self.kind,
            'objects': len(self.objects_by_name),
            'highest_revision': max(
                (stored.revision for stored in self.objects_by_name.values()), default=0
            ),
        }

    def _merge(self, event: ObjectEvent) -> bool:
        stored = event.stored
        known = self.objects_by_name.get(stored.name)
        if event.is_removal:
            if known is None or known.revision > stored.revision:
                return False
            del self.objects_by_name[stored.name]
            self._note_removed(stored)
            return True
        if known is not None and known.revision >= stored.revision:
            return False
        if self._removed_by_name.get(stored.name, -1) >= stored.revision:
            return False
        self.objects_by_name[stored.name] = stored
        return True

    def _note_removed(self, stored: StoreObject) -> None:
        if len(self._removed_by_name) >= _MOST_REMOVED:
            self._removed_by_name.pop(next(iter(self._removed_by_name)))
        self._removed_by_name[stored.name] = stored.revision
