"""The load that a target tells in its answers."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ReportedLoad:
    """Requests that run and that wait at a target, and how many can run at once."""

    running: int
    waiting: int
    slots: int
