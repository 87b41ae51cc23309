"""Parameters of a trial of a new declaration on a share of the callers."""

from dataclasses import dataclass, field

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class Trial:
    """The share of callers, the duration and the stop conditions of a trial.

    With a share of 0 and a duration of 0 the declaration is accepted immediately. The trial stops
    when, after ``min_requests`` requests, the candidate's error ratio exceeds
    ``error_ratio_above`` or its mean latency exceeds that of the accepted declaration by the
    factor ``latency_ratio_above``.
    """

    share: float = field(default=0, metadata=schema(min=0, max=1))
    duration_s: float = field(default=0, metadata=schema(min=0))
    error_ratio_above: float = field(default=0.02, metadata=schema(min=0, max=1))
    latency_ratio_above: float = field(default=2, metadata=schema(min=1))
    min_requests: int = field(default=50, metadata=schema(min=1))
