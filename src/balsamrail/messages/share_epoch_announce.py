"""The share epoch announce message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareEpochAnnounce:
    """The sender knows this epoch of a region, and whether it is being sealed."""

    region: str
    epoch: int
    sealing: bool
