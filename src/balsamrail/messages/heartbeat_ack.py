"""Acknowledgement of a heartbeat."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class HeartbeatAck:
    """Acknowledges the heartbeat with the same ``sequence``."""

    sequence: int
    record_number: int
