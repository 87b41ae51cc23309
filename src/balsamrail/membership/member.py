"""A member of the fleet as one host sees it."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """One incarnation of a host.

    ``incarnation`` is 20 hexadecimal digits, the wall time of the start in milliseconds and a
    random number, so that a later start of the same host compares higher. ``state`` is one of
    ``starting``, ``alive``, ``suspect``, ``leaving`` and ``gone``; a host that is starting runs but
    has not learnt yet what it serves.
    """

    host: str
    incarnation: str
    refutation: int
    state: str
    peer_address: str
    caller_address: str
    region: str
    availability_zone: str

    @property
    def holder(self) -> str:
        """The name under which this incarnation holds shares and claims."""
        return f'{self.host}@{self.incarnation}'
