"""The outcome of a trial that was stopped."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class StoppedTrial:
    """The revision that was on trial, and the metric that exceeded its limit."""

    revision: int
    reason: str
