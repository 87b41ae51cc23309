"""The placement query message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementQuery:
    """Asks the steward of the region where a bucket is placed."""

    scope: str
    bucket: int
