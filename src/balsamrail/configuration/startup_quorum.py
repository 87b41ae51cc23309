"""The condition under which a starting host may serve with its record (section 5)."""

from collections.abc import Collection

_REQUIRED_PEERS = 3
# Peers are discovered through the first ones that respond. A set of known peers smaller than the
# quorum is therefore trusted only after this many rounds of queries.
_ROUNDS_WITH_FEW_PEERS = 4


class StartupQuorum:
    """Satisfied by a response of the store, or by responses of enough peers.

    :param required_peers: the number of peers that have to respond; if fewer are known, all of
        them.
    """

    __slots__ = ('_required_peers', '_responded_peers', '_rounds', '_satisfied')

    def __init__(self, *, required_peers: int = _REQUIRED_PEERS) -> None:
        self._required_peers = required_peers
        self._responded_peers: set[str] = set()
        self._rounds = 0
        self._satisfied = False

    @property
    def satisfied(self) -> bool:
        """Whether the store or enough peers have responded."""
        return self._satisfied

    def on_store_response(self) -> None:
        """Handle a response of the store, with or without a record."""
        self._satisfied = True

    def on_peer_response(self, host: str) -> None:
        """Handle a response of a peer."""
        if not self._satisfied:
            self._responded_peers.add(host)

    def unanswered_peers(self, peers: Collection[str]) -> list[str]:
        """Return the peers that have not responded yet."""
        return sorted(set(peers) - self._responded_peers)

    def end_round(self, peers: Collection[str]) -> None:
        """Evaluate the responses after a round of queries, given the currently known peers."""
        self._rounds += 1
        few = len(peers) < self._required_peers
        if len(self._responded_peers) >= self._required_peers:
            self._satisfied = True
        elif few and self._responded_peers and self._rounds >= _ROUNDS_WITH_FEW_PEERS:
            self._satisfied = not self.unanswered_peers(peers)
