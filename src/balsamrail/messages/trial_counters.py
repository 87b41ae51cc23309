"""The trial counters message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TrialCounters:
    """Requests, errors and summed latency of both arms of a trial on ``host``. Counters only
    grow."""

    revision: int
    host: str
    incarnation: str
    candidate: list[int]
    accepted: list[int]
