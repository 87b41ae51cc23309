"""Limits and timeouts of a host."""

from dataclasses import dataclass, field

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """Size limits, timeouts and intervals of a host.

    Sizes are in bytes, durations in seconds. The defaults suit both deployments under
    ``examples/``. The last four bound what callers of an entry host take; 0 derives a limit from the
    memory and the descriptors of the process.
    """

    header_bytes: int = field(default=16_384, metadata=schema(min=1_024))
    body_bytes: int = field(default=8_388_608, metadata=schema(min=0))
    body_timeout_s: float = field(default=10, metadata=schema(min=0.1))
    lookup_ttl_s: float = field(default=5, metadata=schema(min=0))
    heartbeat_s: float = field(default=1, metadata=schema(min=0.05))
    suspect_after_s: float = field(default=3, metadata=schema(min=0.1))
    gone_after_s: float = field(default=5, metadata=schema(min=0.1))
    probe_s: float = field(default=2, metadata=schema(min=0.1))
    connection_age_s: float = field(default=60, metadata=schema(min=1))
    connection_idle_s: float = field(default=10, metadata=schema(min=0.1))
    user_timeout_s: float = field(default=5, metadata=schema(min=0.5))
    kept_answer_bytes: int = field(default=33_554_432, metadata=schema(min=0))
    kept_keys: int = field(default=200_000, metadata=schema(min=1))
    caller_memory_mb: int = field(default=0, metadata=schema(min=0))
    caller_connections: int = field(default=0, metadata=schema(min=0))
    page_connections: int = field(default=0, metadata=schema(min=0))
    min_body_bytes_per_s: float = field(default=500, metadata=schema(min=0))
