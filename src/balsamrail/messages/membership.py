"""Messages by which hosts keep their member tables and streams."""

from balsamrail.messages.heartbeat import Heartbeat
from balsamrail.messages.heartbeat_ack import HeartbeatAck
from balsamrail.messages.hello import Hello
from balsamrail.messages.member_digest import MemberDigest
from balsamrail.messages.member_update import MemberUpdate
from balsamrail.messages.member_updates import MemberUpdates

__all__ = (
    'Heartbeat',
    'HeartbeatAck',
    'Hello',
    'MemberDigest',
    'MemberUpdate',
    'MemberUpdates',
)
