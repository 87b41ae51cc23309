"""Final holdings of a sealed share epoch."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareSealed:
    """The share of ``holder`` when it stopped transferring share in this epoch."""

    region: str
    epoch: int
    holder: str
    held_by_resource: dict[str, int]
