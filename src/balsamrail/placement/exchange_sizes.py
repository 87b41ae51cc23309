"""Sizes of the requests and responses of each route."""

from dataclasses import dataclass

# Size of the start lines and headers of an exchange.
OVERHEAD_BYTES = 500
# From this mean size on, the traffic of a few exchanges costs more than a run of a new object.
_LARGE_MEAN_BYTES = 2_700
_MIN_EXCHANGES = 5


@dataclass(slots=True, kw_only=True)
class _Sizes:
    count: int = 0
    total_bytes: int = 0


class ExchangeSizes:
    """Decides whether the exchanges of a route are large enough to be kept in their zone.

    Traffic between availability zones is charged for, whereas the first run of an object at a
    target costs more than three times the work of a later one. Objects of routes with large
    exchanges are therefore assigned targets in each zone, and the others once per region.
    """

    __slots__ = ('_sizes_by_route',)

    def __init__(self) -> None:
        self._sizes_by_route: dict[str, _Sizes] = {}

    def note(self, route: str, *, sent_bytes: int, received_bytes: int) -> None:
        """Record the body sizes of a request and its response."""
        sizes = self._sizes_by_route.setdefault(route, _Sizes())
        sizes.count += 1
        sizes.total_bytes += sent_bytes + received_bytes + OVERHEAD_BYTES

    def are_large(self, route: str) -> bool:
        """Return whether the exchanges of a route are large; false until enough were recorded."""
        sizes = self._sizes_by_route.get(route)
        if sizes is None or sizes.count < _MIN_EXCHANGES:
            return False
        return sizes.total_bytes / sizes.count >= _LARGE_MEAN_BYTES
