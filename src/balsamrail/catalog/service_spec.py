"""What the manifest says of a service."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSpec:
    """How the targets of a service are checked and spared.

    :param health_path: the path of health checks.
    :param max_connections: how many connections a target takes from all callers together.
    :param warmup_s: how long a target stays cold after its start, in seconds.
    :param warmup_per_s: how many requests a second a cold target tolerates.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float
