"""The target samples message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetSamples:
    """Tells the steward how targets answered since the last report.

    The lists are parallel: answers to objects that the target knew, the sum of their times in
    milliseconds, requests that ended, and those of them that broke off.
    """

    target_ids: list[str]
    answers: list[int]
    busy_ms: list[int]
    ended: list[int]
    failures: list[int]
