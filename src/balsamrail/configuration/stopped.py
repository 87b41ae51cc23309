"""Why the last trial ended without being accepted."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Stopped:
    """The revision that was on trial, and the measure that worsened."""

    revision: int
    reason: str
