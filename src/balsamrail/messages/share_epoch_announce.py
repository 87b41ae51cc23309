"""Announcement of a share epoch."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareEpochAnnounce:
    """Announces an epoch of a region and whether it is being sealed."""

    region: str
    epoch: int
    sealing: bool
