"""The specification of a service in the manifest."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSpec:
    """How the targets of a service are health-checked and protected from overload.

    :param health_path: the path of health checks.
    :param max_connections: the maximum number of connections that a target accepts in total.
    :param warmup_s: how long a target stays cold after its start, in seconds.
    :param warmup_per_s: the request rate per second that a cold target tolerates.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float
