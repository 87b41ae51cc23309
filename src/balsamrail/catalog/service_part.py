"""A part of a route's traffic."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ServicePart:
    """The service that takes ``weight`` of a route's requests, in proportion to all its parts."""

    service: str
    weight: float
