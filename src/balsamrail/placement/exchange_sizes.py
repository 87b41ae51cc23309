"""How large the requests and answers of each route are."""

from dataclasses import dataclass

# Bytes of the lines and headers that every exchange has.
OVERHEAD_BYTES = 500
# From this mean size on, the bytes of a few exchanges cost more than a run of a new object.
_LARGE_BYTES = 2_700
_FEWEST = 5


@dataclass(slots=True, kw_only=True)
class _Sizes:
    count: int = 0
    total_bytes: int = 0


class ExchangeSizes:
    """Tells whether a route's exchanges are large enough to keep them in their zone.

    Bytes between availability zones are paid for, and a target that is new to an object takes
    more than three times the work once. So an object of a route with large exchanges is placed in
    each zone anew, and one with small exchanges once in a region.
    """

    __slots__ = ('_sizes_by_route',)

    def __init__(self) -> None:
        self._sizes_by_route: dict[str, _Sizes] = {}

    def note(self, route: str, *, sent_bytes: int, received_bytes: int) -> None:
        """Count the bodies of a request and its answer."""
        sizes = self._sizes_by_route.setdefault(route, _Sizes())
        sizes.count += 1
        sizes.total_bytes += sent_bytes + received_bytes + OVERHEAD_BYTES

    def are_large(self, route: str) -> bool:
        """Return whether a route's exchanges are large; false until some were seen."""
        sizes = self._sizes_by_route.get(route)
        if sizes is None or sizes.count < _FEWEST:
            return False
        return sizes.total_bytes / sizes.count >= _LARGE_BYTES
