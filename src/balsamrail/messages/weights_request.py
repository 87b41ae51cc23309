"""The weights request message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsRequest:
    """A starting host asks the receiver for its effective weights."""

    host: str
