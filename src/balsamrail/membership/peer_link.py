"""A stream to a known host."""

from dataclasses import dataclass

from balsamrail.membership.stream import Stream


@dataclass(slots=True, kw_only=True, eq=False)
class PeerLink:
    """A stream after both sides said who they are.

    ``opened`` is true on the side that opened it, which sends the heartbeats. Times are of the
    loop, in seconds: ``heard_at`` of any message, ``used_at`` of one that is no heartbeat.
    """

    host: str
    stream: Stream
    opened: bool
    heard_at: float
    used_at: float
