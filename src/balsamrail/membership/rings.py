"""Hash rings that determine the neighbours of each host."""

from bisect import bisect
from collections.abc import Collection
from hashlib import blake2b

_RING_COUNT = 3
_DIGEST_BYTES = 8


class Rings:
    """Orders hosts on three rings; on ring ``i`` by the hash of ``i`` and the host name.

    Each host maintains a stream to its successor on each ring. The rings are independent random
    cycles, so their union stays connected when many hosts fail at once, and each host has about
    six streams whatever the size of the fleet.

    :param local_host: the host whose neighbours are computed.
    """

    __slots__ = ('_local_host', '_position_by_host')

    def __init__(self, *, local_host: str) -> None:
        self._local_host = local_host
        self._position_by_host: dict[str, tuple[bytes, ...]] = {}

    def neighbours(self, hosts: Collection[str]) -> tuple[set[str], set[str]]:
        """Return the successors and predecessors of the local host among ``hosts``."""
        self._position_by_host = {
            host: self._position_by_host.get(host) or _positions(host)
            for host in {*hosts, self._local_host}
        }
        others = {
            host: positions
            for host, positions in self._position_by_host.items()
            if host != self._local_host
        }
        if not others:
            return set(), set()
        own_positions = self._position_by_host[self._local_host]
        successors = set()
        predecessors = set()
        for ring, own_position in enumerate(own_positions):
            ranked = sorted((positions[ring], host) for host, positions in others.items())
            after = [host for position, host in ranked if position > own_position]
            successors.add(after[0] if after else ranked[0][1])
            before = len(ranked) - len(after)
            predecessors.add(ranked[before - 1][1])
        return successors, predecessors

    def adjacent(self, hosts: Collection[str], *, between: Collection[str]) -> set[str]:
        """Return which of ``hosts`` the local host would be a neighbour of.

        :param between: the hosts that are on the rings besides the local host and the one in question.
        """
        adjacent: set[str] = set()
        for ring in range(_RING_COUNT):
            ranked = sorted(
                (self._position(host)[ring], host) for host in {*between, self._local_host}
            )
            for host in hosts:
                after = bisect(ranked, (self._position(host)[ring], host))
                ends = {ranked[after - 1][1], ranked[after % len(ranked)][1]}
                if self._local_host in ends:
                    adjacent.add(host)
        return adjacent

    def _position(self, host: str) -> tuple[bytes, ...]:
        return self._position_by_host.get(host) or _positions(host)


def _positions(host: str) -> tuple[bytes, ...]:
    return tuple(
        blake2b(f'{ring}/{host}'.encode(), digest_size=_DIGEST_BYTES).digest()
        for ring in range(_RING_COUNT)
    )
