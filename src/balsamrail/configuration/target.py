"""A target of a service."""

from dataclasses import dataclass, field

from apischema import schema

from balsamrail.settings.address import Address


@dataclass(slots=True, kw_only=True, frozen=True)
class Target:
    """One address of an upstream with its limits of concurrent requests and connections."""

    address: Address
    availability_zone: str
    slots: int = field(metadata=schema(min=1))
    connections: int = field(default=330, metadata=schema(min=1))
