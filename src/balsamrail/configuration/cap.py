"""Rate limit for shifting traffic between regions."""

from dataclasses import dataclass, field

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class Cap:
    """At most ``fraction`` of a service's traffic moves between regions in any ``per_s`` seconds."""

    fraction: float = field(metadata=schema(exc_min=0, max=1))
    per_s: float = field(metadata=schema(exc_min=0))
