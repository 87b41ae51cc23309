"""Report of a change of the request rate that a target names."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetLimitReport:
    """A target named a limit to ``host``, another one, or none any more.

    ``wall_s`` orders the reports of a host on the same target. ``per_s`` has no meaning if
    ``is_limited`` is false.
    """

    host: str
    target: str
    born_ms: int
    is_limited: bool
    per_s: float
    wall_s: float
