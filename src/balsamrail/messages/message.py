"""Union and wire tags of all messages between hosts."""

from balsamrail.messages.claim_answer import ClaimAnswer
from balsamrail.messages.claim_request import ClaimRequest
from balsamrail.messages.crash_report import CrashReport
from balsamrail.messages.feed_status import FeedStatus
from balsamrail.messages.feed_subscribe import FeedSubscribe
from balsamrail.messages.feed_update import FeedUpdate
from balsamrail.messages.manifest_age_answer import ManifestAgeAnswer
from balsamrail.messages.manifest_age_request import ManifestAgeRequest
from balsamrail.messages.membership import (
    Heartbeat,
    HeartbeatAck,
    Hello,
    MemberDigest,
    MemberUpdate,
    MemberUpdates,
)
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

Message = (
    Hello
    | Heartbeat
    | HeartbeatAck
    | MemberUpdate
    | RecordAnnounce
    | RecordRequest
    | RecordPatch
    | RecordFull
    | TargetLeaving
    | CrashReport
    | ShareRequest
    | ShareGiven
    | ShareSealed
    | ShareEpochAnnounce
    | ClaimRequest
    | ClaimAnswer
    | TrialCounters
    | WeightsRequest
    | WeightsGiven
    | MemberDigest
    | ShareEpochQuery
    | ShareEpochAnswer
    | FeedSubscribe
    | FeedUpdate
    | FeedStatus
    | MemberUpdates
    | TargetLimitReport
    | ManifestAgeRequest
    | ManifestAgeAnswer
    | QuotaAsk
    | QuotaReply
)

# The index in this tuple is the tag on the wire: append only, never reorder.
MESSAGE_KINDS: tuple[type[Message], ...] = (
    Hello,
    Heartbeat,
    HeartbeatAck,
    MemberUpdate,
    RecordAnnounce,
    RecordRequest,
    RecordPatch,
    RecordFull,
    TargetLeaving,
    CrashReport,
    ShareRequest,
    ShareGiven,
    ShareSealed,
    ShareEpochAnnounce,
    ClaimRequest,
    ClaimAnswer,
    TrialCounters,
    WeightsRequest,
    WeightsGiven,
    MemberDigest,
    ShareEpochQuery,
    ShareEpochAnswer,
    FeedSubscribe,
    FeedUpdate,
    FeedStatus,
    MemberUpdates,
    TargetLimitReport,
    ManifestAgeRequest,
    ManifestAgeAnswer,
    QuotaAsk,
    QuotaReply,
)
