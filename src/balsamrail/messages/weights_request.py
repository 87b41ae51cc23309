"""Request for effective weights."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsRequest:
    """Asks the receiver for its effective weights when ``host`` starts."""

    host: str
