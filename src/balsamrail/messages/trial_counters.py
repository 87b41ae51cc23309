"""Counters of a trial."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TrialCounters:
    """Requests, errors and total latency of both arms of a trial on ``host``.

    Counters are monotonic.
    """

    revision: int
    host: str
    incarnation: str
    candidate: list[int]
    accepted: list[int]
