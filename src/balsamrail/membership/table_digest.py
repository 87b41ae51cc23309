"""Checksums of the member table that locate the differences between two tables."""

from hashlib import blake2b

from balsamrail.membership.member import Member
from balsamrail.membership.members import Members
from balsamrail.membership.updates import update_order

_FANOUT = 16
_POSITION_BYTES = 8
MAX_PREFIX_LENGTH = 2 * _POSITION_BYTES - 1
_CHECKSUM_BYTES = 4


class TableDigest:
    """A hash tree; the position of a member is the hash of its host name in hexadecimal.

    Gone members are omitted. Hosts expire them at different times, so hosts would send them to
    each other for ever if digests included them.
    """

    __slots__ = ('_members', '_root_sums', '_row_by_position')

    def __init__(self, *, members: Members) -> None:
        self._members = members
        self._root_sums: bytes | None = None
        self._row_by_position: dict[str, tuple[str, int]] | None = None
        members.subscribe(self._invalidate)

    def sums(self, prefix: str) -> bytes:
        """Return one checksum per next digit for the positions that begin with ``prefix``."""
        if prefix:
            return self._sum(prefix)
        # Cached: two digests per second are compared at the root, and 920 rows take 0.7 ms.
        if self._root_sums is None:
            self._root_sums = self._sum('')
        return self._root_sums

    def hosts(self, prefix: str) -> list[str]:
        """Return the hosts whose positions begin with ``prefix``."""
        return [
            host for position, (host, _) in self._rows().items() if position.startswith(prefix)
        ]

    def differing_prefixes(self, prefix: str, sums: bytes) -> list[str] | None:
        """Return the prefixes, one digit longer, under which a peer's table differs.

        Return ``None`` if the digest is malformed.
        """
        if len(prefix) > MAX_PREFIX_LENGTH or len(sums) != _FANOUT * _CHECKSUM_BYTES:
            return None
        own = self.sums(prefix)
        starts = range(0, len(own), _CHECKSUM_BYTES)
        return [
            f'{prefix}{digit:x}'
            for digit, start in enumerate(starts)
            if own[start : start + _CHECKSUM_BYTES] != sums[start : start + _CHECKSUM_BYTES]
        ]

    def _sum(self, prefix: str) -> bytes:
        totals = [0 for _ in range(_FANOUT)]
        for position, (_, row) in self._rows().items():
            if position.startswith(prefix):
                totals[int(position[len(prefix)], _FANOUT)] ^= row
        return b''.join(total.to_bytes(_CHECKSUM_BYTES) for total in totals)

    def _rows(self) -> dict[str, tuple[str, int]]:
        if self._row_by_position is None:
            rows = [self._members.local_member(), *self._members.known()]
            self._row_by_position = {
                _hash(member.host, _POSITION_BYTES).hex(): (member.host, _row_checksum(member))
                for member in rows
                if member.state != 'gone'
            }
        return self._row_by_position

    def _invalidate(self) -> None:
        self._root_sums = None
        self._row_by_position = None


def _row_checksum(member: Member) -> int:
    return int.from_bytes(_hash(f'{member.host} {update_order(member)}', _CHECKSUM_BYTES))


def _hash(text: str, size: int) -> bytes:
    return blake2b(text.encode(), digest_size=size).digest()
