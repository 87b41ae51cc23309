"""The link between two regions."""

from dataclasses import dataclass, field

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class Link:
    """Capacity in Mbit/s each way, shared by all traffic, and one-way delay in milliseconds."""

    between: list[str] = field(metadata=schema(min_items=2, max_items=2, unique=True))
    capacity_mbit_s: float = field(metadata=schema(exc_min=0))
    delay_ms: float = field(default=0, metadata=schema(min=0))
