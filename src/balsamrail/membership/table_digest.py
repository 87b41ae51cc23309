"""Sums over the member table that show two hosts where their tables differ."""

from hashlib import blake2b

from balsamrail.membership.member import Member
from balsamrail.membership.members import Members
from balsamrail.membership.updates import update_order

_FANOUT = 16
_POSITION_BYTES = 8
LONGEST_PREFIX = 2 * _POSITION_BYTES - 1
_SUM_BYTES = 4


class TableDigest:
    """A tree of sums; each member has a fixed position, the hash of its host name in hexadecimal.

    Gone members are left out. Hosts drop them at different times, and a digest that held them
    would make hosts tell each other about them for ever.
    """

    __slots__ = ('_members', '_root_sums', '_row_by_position')

    def __init__(self, *, members: Members) -> None:
        self._members = members
        self._root_sums: bytes | None = None
        self._row_by_position: dict[str, tuple[str, int]] | None = None
        members.subscribe(self._drop)

    def sums(self, prefix: str) -> bytes:
        """Return the sums of the positions that begin with ``prefix``, by their next digit."""
        if prefix:
            return self._sum(prefix)
        # Two digests a second are compared at the root, and 920 rows take 0.7 ms to sum.
        if self._root_sums is None:
            self._root_sums = self._sum('')
        return self._root_sums

    def hosts(self, prefix: str) -> list[str]:
        """Return the hosts whose positions begin with ``prefix``."""
        return [
            host for position, (host, _) in self._rows().items() if position.startswith(prefix)
        ]

    def differing(self, prefix: str, sums: bytes) -> list[str] | None:
        """Return the prefixes, one digit longer, under which a peer's table differs.

        Return ``None`` for a digest that is not well formed.
        """
        if len(prefix) > LONGEST_PREFIX or len(sums) != _FANOUT * _SUM_BYTES:
            return None
        own = self.sums(prefix)
        starts = range(0, len(own), _SUM_BYTES)
        return [
            f'{prefix}{digit:x}'
            for digit, start in enumerate(starts)
            if own[start : start + _SUM_BYTES] != sums[start : start + _SUM_BYTES]
        ]

    def _sum(self, prefix: str) -> bytes:
        totals = [0 for _ in range(_FANOUT)]
        for position, (_, row) in self._rows().items():
            if position.startswith(prefix):
                totals[int(position[len(prefix)], _FANOUT)] ^= row
        return b''.join(total.to_bytes(_SUM_BYTES) for total in totals)

    def _rows(self) -> dict[str, tuple[str, int]]:
        if self._row_by_position is None:
            rows = [self._members.own(), *self._members.known()]
            self._row_by_position = {
                _hash(member.host, _POSITION_BYTES).hex(): (member.host, _row(member))
                for member in rows
                if member.state != 'gone'
            }
        return self._row_by_position

    def _drop(self) -> None:
        self._root_sums = None
        self._row_by_position = None


def _row(member: Member) -> int:
    return int.from_bytes(_hash(f'{member.host} {update_order(member)}', _SUM_BYTES))


def _hash(text: str, size: int) -> bytes:
    return blake2b(text.encode(), digest_size=size).digest()
