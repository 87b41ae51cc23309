"""A stream whose peer is identified."""

from dataclasses import dataclass, field

from balsamrail.membership.stream import Stream
from balsamrail.messages import MemberUpdate


@dataclass(slots=True, kw_only=True, eq=False)
class PeerLink:
    """A stream after the handshake.

    ``is_outbound`` is true on the side that opened the stream, which sends the heartbeats.
    ``last_received_at`` is the monotonic time, in seconds, of the last message received.
    ``last_used_at`` is that of the last message, sent for another module or received, that is
    neither a heartbeat nor a membership message.
    ``next_batch_at`` is the time from which member updates are sent without waiting for others, see
    :class:`~balsamrail.membership.update_batcher.UpdateBatcher`.
    """

    host: str
    stream: Stream
    is_outbound: bool
    last_received_at: float
    last_used_at: float
    pending_update_by_subject: dict[tuple[str, str], MemberUpdate] = field(default_factory=dict)
    next_batch_at: float = 0
    is_flush_scheduled: bool = False
