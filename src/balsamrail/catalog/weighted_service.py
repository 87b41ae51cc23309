"""A service with its share of the traffic of a route."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightedService:
    """A service that gets requests of a route in proportion to ``weight``."""

    service: str
    weight: float
