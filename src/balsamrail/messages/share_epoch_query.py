"""The share epoch query message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareEpochQuery:
    """Asks the receiver for the share epochs it knows. The answer repeats ``mark``."""

    mark: int
