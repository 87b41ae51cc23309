"""When a host that just started has a record that it may serve with (section 5)."""

from collections.abc import Collection

_PEERS_TO_ASK = 3
# The first peers to answer name the others, so a small number of known peers counts only after
# this many rounds of questions.
_ROUNDS_WITH_FEW_PEERS = 4


class StartRule:
    """Satisfied by an answer of the store, or by those of enough peers.

    :param peers_to_ask: how many peers have to answer; all, when there are fewer.
    """

    __slots__ = ('_answered', '_peers_to_ask', '_rounds', '_satisfied')

    def __init__(self, *, peers_to_ask: int = _PEERS_TO_ASK) -> None:
        self._peers_to_ask = peers_to_ask
        self._answered: set[str] = set()
        self._rounds = 0
        self._satisfied = False

    @property
    def satisfied(self) -> bool:
        """Tell whether enough was asked."""
        return self._satisfied

    def store_answered(self) -> None:
        """Note that the store gave its record, or that it has none."""
        self._satisfied = True

    def peer_answered(self, host: str) -> None:
        """Note that a peer told what it has."""
        if not self._satisfied:
            self._answered.add(host)

    def to_ask(self, peers: Collection[str]) -> list[str]:
        """Return the peers that have not answered yet."""
        return sorted(set(peers) - self._answered)

    def end_round(self, peers: Collection[str]) -> None:
        """Judge the answers of one round among the peers that are known now."""
        self._rounds += 1
        few = len(peers) < self._peers_to_ask
        if len(self._answered) >= self._peers_to_ask:
            self._satisfied = True
        elif few and self._answered and self._rounds >= _ROUNDS_WITH_FEW_PEERS:
            self._satisfied = not self.to_ask(peers)
