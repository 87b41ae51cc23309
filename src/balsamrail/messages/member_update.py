"""The member update message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberUpdate:
    """What one host knows or believes of a member. ``observer`` is the host that says so."""

    host: str
    incarnation: str
    refutation: int
    state: str
    peer_address: str
    caller_address: str
    region: str
    availability_zone: str
    observer: str
