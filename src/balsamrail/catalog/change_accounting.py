"""Comparison of the store's counter of changes with the changes that were received."""

from collections.abc import Iterable

from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import ObjectEvent


class ChangeAccounting:
    """Finds the kinds of objects that may lack a change.

    The store counts the changes of all kinds together. A change that no feed has received belongs
    to a kind that nobody watches, or the answer that reported it was lost::

        accounting.note_answer('servers', revision=Revision(era=1, number=7))
        accounting.note_answer('config', revision=Revision(era=1, number=9), events=events)
        accounting.incomplete_kinds(Revision(era=1, number=9))  # ['servers']

    In the example, the store's ninth change is known if it is among ``events``, but the eighth
    is not.
    """

    __slots__ = ('_complete_by_kind', '_received')

    def __init__(self) -> None:
        # All changes of a kind up to this revision have been received.
        self._complete_by_kind: dict[str, Revision] = {}
        # The revisions of further changes.
        self._received: set[Revision] = set()

    def note_answer(
        self, kind: str, *, revision: Revision, events: Iterable[ObjectEvent] = ()
    ) -> None:
        """Record a listing of a kind, or the answer of a watch.

        :param revision: all changes of the kind up to this revision are known now.
        """
        self._complete_by_kind[kind] = revision
        self._received.update(event.stored.revision for event in events)
        complete = min(self._complete_by_kind.values())
        self._received = {received for received in self._received if received > complete}

    def incomplete_kinds(self, revision: Revision) -> list[str]:
        """Return the kinds that may lack a change up to a revision of the store."""
        if any(complete.era != revision.era for complete in self._complete_by_kind.values()):
            # Numbers of different eras cannot be compared, and all kinds are listed again.
            return []
        complete = min(self._complete_by_kind.values(), default=revision)
        received_count = sum(received <= revision for received in self._received)
        if complete.number + received_count >= revision.number:
            return []
        return [kind for kind, known in self._complete_by_kind.items() if known < revision]
