"""The placed load message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacedLoad:
    """Tells the stewards of other regions the load that one places on each target.

    ``thousandths_by_target`` is in thousandths of a slot.
    """

    region: str
    thousandths_by_target: dict[str, int]
