"""A region of a deployment."""

from dataclasses import dataclass, field

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class Region:
    """The availability zones of a region, by name."""

    availability_zones: list[str] = field(metadata=schema(min_items=1, unique=True))
