"""Recognises entries of targets that a store brought back from an older copy."""

from balsamrail.catalog.target_entry import TargetEntry

_MAX_POSITIONS = 4_096


class OutdatedEntries:
    """Remembers how far the entries of each target have come.

    After a return from an older copy the store shows a target that drains as ready, and one that
    has left as registered. The entries of an incarnation are numbered, so that such an entry is
    recognised. Others are believed, as are all entries while ``is_suspect`` is false.
    """

    __slots__ = ('_positions_by_id', 'is_suspect')

    def __init__(self) -> None:
        self.is_suspect = False
        # The start of the target, the number of its entry, and whether it has left since.
        self._positions_by_id: dict[str, tuple[int, int, bool]] = {}

    def contains(self, entry: TargetEntry) -> bool:
        """Return whether an entry is older than what is known of its target."""
        known = self._positions_by_id.get(entry.target_id)
        return self.is_suspect and known is not None and _position_of(entry) < known

    def has_left(self, target_id: str) -> bool:
        """Return whether the entry of a target was removed, so that only the copy has it."""
        known = self._positions_by_id.get(target_id)
        return known is not None and known[2]

    def believe(self, entry: TargetEntry) -> None:
        """Record that an entry is in force."""
        self._positions_by_id.pop(entry.target_id, None)
        if len(self._positions_by_id) >= _MAX_POSITIONS:
            self._positions_by_id.pop(next(iter(self._positions_by_id)))
        self._positions_by_id[entry.target_id] = _position_of(entry)

    def leave(self, target_id: str) -> None:
        """Record that the entry of a target was removed."""
        known = self._positions_by_id.get(target_id)
        if known is not None:
            self._positions_by_id[target_id] = (*known[:2], True)


def _position_of(entry: TargetEntry) -> tuple[int, int, bool]:
    return (entry.born_ms, entry.sequence, False)
