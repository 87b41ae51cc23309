"""A fleet member as known to this host."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """One incarnation of a host.

    ``incarnation`` consists of 20 hexadecimal digits: the wall time of the start in milliseconds,
    followed by a random number. A later start of the same host compares higher. ``refutation`` is
    a counter that the host increments to refute a suspicion. ``state`` is one of ``starting``,
    ``alive``, ``degraded``, ``suspect``, ``leaving`` and ``gone``. A ``starting`` host runs but does
    not know yet what it serves. A ``degraded`` host reaches few targets, and serves through others.
    """

    host: str
    incarnation: str
    refutation: int
    state: str
    peer_address: str
    caller_address: str
    region: str
    availability_zone: str

    def is_serving(self) -> bool:
        """Return whether the host announced itself as one that serves and nobody suspects it."""
        return self.state in {'alive', 'degraded'}

    def is_live(self) -> bool:
        """Return whether the host may be running; a suspected one counts as live."""
        return self.state == 'suspect' or self.is_unsuspected()

    def is_unsuspected(self) -> bool:
        """Return whether the host runs and nobody suspects it."""
        return self.state == 'starting' or self.is_serving()

    @property
    def holder(self) -> str:
        """The identifier, ``host@incarnation``, under which shares and claims are held."""
        return f'{self.host}@{self.incarnation}'
