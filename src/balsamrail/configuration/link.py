"""A network link between two regions."""

from dataclasses import dataclass, field

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class Link:
    """A link with its capacity and delay.

    The capacity is in Mbit/s for each direction and shared by all traffic; the delay is the
    one-way delay in milliseconds.
    """

    between: list[str] = field(metadata=schema(min_items=2, max_items=2, unique=True))
    capacity_mbit_s: float = field(metadata=schema(exc_min=0))
    delay_ms: float = field(default=0, metadata=schema(min=0))
