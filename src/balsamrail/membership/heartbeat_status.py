"""State of the sender that is carried by a heartbeat."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class HeartbeatStatus:
    """The fields of the next heartbeat; see :class:`balsamrail.messages.Heartbeat`."""

    record_number: int = 0
    epoch_by_region: dict[str, int] = field(default_factory=dict)
    spare_by_resource: dict[str, int] = field(default_factory=dict)
