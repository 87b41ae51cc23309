"""A route of the manifest."""

from dataclasses import dataclass

from balsamrail.catalog.service_part import ServicePart


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestRoute:
    """Where the requests of one host name and path prefix go and how they are treated.

    :param path_prefix: begins and ends with a slash.
    :param timeout_s: how long a request may be kept waiting, in seconds.
    :param aim_s: the latency objective in seconds.
    :param priority: 0 is the most urgent.
    :param max_attempts: how many targets one request may be sent to.
    :param is_sticky: whether a target is faster for objects that it handled recently.
    :param allowed_regions: where requests may be processed; empty if anywhere.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_s: float
    aim_s: float
    priority: int
    max_attempts: int
    is_sticky: bool
    allowed_regions: frozenset[str]
    parts: tuple[ServicePart, ...]

    def allows(self, region: str) -> bool:
        """Return whether requests of the route may be processed in ``region``."""
        return not self.allowed_regions or region in self.allowed_regions
