"""Heartbeat between hosts."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Heartbeat:
    """Requests an acknowledgement and carries state of the sender.

    ``spare_by_resource`` is the share that the sender could lend.
    """

    sequence: int
    record_number: int
    epoch_by_region: dict[str, int]
    spare_by_resource: dict[str, int]
