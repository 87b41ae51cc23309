"""Fleet membership, failure detection and the peer streams between hosts."""

from balsamrail.membership.failure_detector import FailureDetector
from balsamrail.membership.heartbeat_status import HeartbeatStatus
from balsamrail.membership.host_list_policy import HostListPolicy
from balsamrail.membership.loss_record import LossRecord
from balsamrail.membership.member import Member
from balsamrail.membership.members import Members
from balsamrail.membership.network import Network
from balsamrail.membership.peer_network import PeerNetwork
from balsamrail.membership.peer_server import PeerServer
from balsamrail.membership.stream import Stream
from balsamrail.membership.transport import Transport

__all__ = (
    'FailureDetector',
    'HeartbeatStatus',
    'HostListPolicy',
    'LossRecord',
    'Member',
    'Members',
    'Network',
    'PeerNetwork',
    'PeerServer',
    'Stream',
    'Transport',
)
