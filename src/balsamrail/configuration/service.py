"""A service of a declaration."""

from dataclasses import dataclass, field

from apischema import schema

from balsamrail.configuration.cap import Cap
from balsamrail.configuration.route import Route
from balsamrail.configuration.target import Target

_DEFAULT_SHIFT_CAP = Cap(fraction=0.1, per_s=60)
_DEFAULT_FAILOVER_CAP = Cap(fraction=1, per_s=10)


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """Targets, guarantees and limits of one service.

    ``depends_on`` gives the mean number of calls to another service for each request.
    ``headroom`` is the fraction of the slots that is kept free. Under overload, ``priority`` 0 is
    shed last.
    """

    targets: list[Target] = field(metadata=schema(min_items=1))
    depends_on: dict[str, float] = field(default_factory=dict)
    routes: list[Route] = field(default_factory=list)
    priority: int = field(default=0, metadata=schema(min=0, max=9))
    headroom: float = field(default=0.1, metadata=schema(min=0, exc_max=1))
    weights: dict[str, int] = field(default_factory=dict)
    shift_cap: Cap = _DEFAULT_SHIFT_CAP
    failover_cap: Cap = _DEFAULT_FAILOVER_CAP
    deadline_ms: int = field(default=2_000, metadata=schema(min=1))
    refusal_statuses: list[int] = field(default_factory=list)
    echoes_request_id: bool = False
    slow_start_s: float = field(default=30, metadata=schema(min=0))
    crash_limit: int = field(default=2, metadata=schema(min=1))

    def route_for(self, *, method: str, path: str) -> Route | None:
        """Return the matching route with the longest path, ``None`` if there is none."""
        matching = [route for route in self.routes if route.matches(method=method, path=path)]
        return max(matching, key=_path_length, default=None)


def _path_length(route: Route) -> int:
    return len(route.path)
