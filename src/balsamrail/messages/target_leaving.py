"""Drain state of a target."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetLeaving:
    """A target stops or resumes accepting new work.

    ``wall_s`` orders reports on the same target.
    """

    service: str
    address: str
    leaving: bool
    wall_s: float
