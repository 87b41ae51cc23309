"""The target leaving message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetLeaving:
    """A target takes no new work, or takes it again. ``wall_s`` orders reports of the same
    target."""

    service: str
    address: str
    leaving: bool
    wall_s: float
