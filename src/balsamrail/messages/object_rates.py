"""The object rates message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectRates:
    """Tells the steward how often each bucket was asked for since the last report.

    ``version`` is that of the last update that the sender has from this steward.
    """

    version: int
    scope: str
    buckets: list[int]
    counts: list[int]
