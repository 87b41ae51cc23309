"""The load that a target reports in its responses."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ReportedLoad:
    """The running and queued requests of a target, and how many can run concurrently."""

    running: int
    waiting: int
    slots: int
