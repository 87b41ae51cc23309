"""Query for known share epochs."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareEpochQuery:
    """Requests the share epochs known to the receiver; the response repeats ``mark``."""

    mark: int
