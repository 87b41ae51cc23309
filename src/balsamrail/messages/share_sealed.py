"""The share sealed message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareSealed:
    """What ``holder`` held when it stopped giving and receiving in this epoch."""

    region: str
    epoch: int
    holder: str
    held_by_resource: dict[str, int]
