"""The heartbeat message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Heartbeat:
    """Asks the peer to answer, and tells what the sender has. ``spare_by_resource`` is share that
    it could lend."""

    sequence: int
    record_number: int
    epoch_by_region: dict[str, int]
    spare_by_resource: dict[str, int]
