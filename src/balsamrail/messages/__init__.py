"""Messages between hosts and their wire format."""

from balsamrail.messages.claim_answer import ClaimAnswer
from balsamrail.messages.claim_request import ClaimRequest
from balsamrail.messages.codec import FrameReader, encode_message
from balsamrail.messages.crash_report import CrashReport
from balsamrail.messages.manifest_age_answer import ManifestAgeAnswer
from balsamrail.messages.manifest_age_request import ManifestAgeRequest
from balsamrail.messages.member_updates_codec import pack_updates, unpack_updates
from balsamrail.messages.membership import (
    Heartbeat,
    HeartbeatAck,
    Hello,
    MemberDigest,
    MemberUpdate,
    MemberUpdates,
)
from balsamrail.messages.message import MESSAGE_KINDS, Message
from balsamrail.messages.quota import QuotaAsk, QuotaReply
from balsamrail.messages.record_announce import RecordAnnounce
from balsamrail.messages.record_full import RecordFull
from balsamrail.messages.record_patch import RecordPatch
from balsamrail.messages.record_request import RecordRequest
from balsamrail.messages.share_epoch_announce import ShareEpochAnnounce
from balsamrail.messages.share_epoch_answer import ShareEpochAnswer
from balsamrail.messages.share_epoch_query import ShareEpochQuery
from balsamrail.messages.share_given import ShareGiven
from balsamrail.messages.share_request import ShareRequest
from balsamrail.messages.share_sealed import ShareSealed
from balsamrail.messages.target_leaving import TargetLeaving
from balsamrail.messages.target_limit_report import TargetLimitReport
from balsamrail.messages.trial_counters import TrialCounters
from balsamrail.messages.weights_given import WeightsGiven
from balsamrail.messages.weights_request import WeightsRequest

__all__ = (
    'MESSAGE_KINDS',
    'ClaimAnswer',
    'ClaimRequest',
    'CrashReport',
    'FrameReader',
    'Heartbeat',
    'HeartbeatAck',
    'Hello',
    'ManifestAgeAnswer',
    'ManifestAgeRequest',
    'MemberDigest',
    'MemberUpdate',
    'MemberUpdates',
    'Message',
    'QuotaAsk',
    'QuotaReply',
    'RecordAnnounce',
    'RecordFull',
    'RecordPatch',
    'RecordRequest',
    'ShareEpochAnnounce',
    'ShareEpochAnswer',
    'ShareEpochQuery',
    'ShareGiven',
    'ShareRequest',
    'ShareSealed',
    'TargetLeaving',
    'TargetLimitReport',
    'TrialCounters',
    'WeightsGiven',
    'WeightsRequest',
    'encode_message',
    'pack_updates',
    'unpack_updates',
)
