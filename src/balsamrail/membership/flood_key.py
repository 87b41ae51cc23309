"""Topic and version of the messages that every host forwards."""

from balsamrail.membership.flood_filter import Version
from balsamrail.messages import (
    Message,
    ShareEpochAnnounce,
    TargetLeaving,
    TargetLimitReport,
    TrialCounters,
)


def flood_key(message: Message) -> tuple[str, Version] | None:
    """Return the topic and version of a message that is forwarded unchanged, else ``None``.

    Member updates, record announcements and crash reports are excluded: a host forwards those only
    after it has applied them.
    """
    match message:
        case TargetLeaving():
            return f'target/{message.service}/{message.address}', (message.wall_s,)
        case TargetLimitReport():
            return f'limit/{message.host}/{message.target}', (message.wall_s,)
        case ShareEpochAnnounce():
            return f'epoch/{message.region}', (message.epoch, message.sealing)
        case TrialCounters():
            total = sum(message.candidate) + sum(message.accepted)
            topic = f'trial/{message.revision}/{message.host}'
            return topic, (message.incarnation, total)
    return None
