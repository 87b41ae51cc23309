"""State of a member."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberUpdate:
    """The state of a member as known or suspected by the host ``observer``."""

    host: str
    incarnation: str
    refutation: int
    state: str
    peer_address: str
    caller_address: str
    region: str
    availability_zone: str
    observer: str
