"""Handshake of a peer stream."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Hello:
    """The first message on a peer stream: identity and state of the sender."""

    host: str
    incarnation: str
    peer_address: str
    caller_address: str
    region: str
    availability_zone: str
    state: str
