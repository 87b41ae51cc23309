"""A route of the manifest."""

from dataclasses import dataclass

from balsamrail.catalog.weighted_service import WeightedService

# The regions of a request that may be processed nowhere: an empty set means anywhere. No region has
# such a name, so that no target and no host is in it.
NO_REGIONS = frozenset(('(none)',))


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestRoute:
    """How the requests for one host name and path prefix are routed and handled.

    :param path_prefix: the path prefix, which begins and ends with a slash.
    :param timeout_s: the time-out of a request in seconds.
    :param aim_s: the latency objective in seconds.
    :param priority: the priority level; 0 is the most urgent.
    :param max_attempts: the maximum number of targets to which a request is sent.
    :param is_sticky: whether a target is faster for objects that it handled recently.
    :param allowed_regions: the regions in which requests may be processed; empty if anywhere.
    :param is_anonymous: whether requests without a known API key are accepted.
    :param parts: the services among which the requests are split.
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
    parts: tuple[WeightedService, ...]
    is_anonymous: bool = False

    def allows(self, region: str) -> bool:
        """Return whether requests of the route may be processed in ``region``."""
        return not self.allowed_regions or region in self.allowed_regions
