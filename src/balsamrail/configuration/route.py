"""A route of a service."""

from dataclasses import dataclass, field

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Requests with the same guarantees, selected by method and path prefix.

    ``keep_key_s`` is how long, in seconds, a caller may resend a request that is not idempotent.
    ``mean_kbit`` is the mean size of a request with its response in kbit, used to estimate the
    load on links.
    """

    methods: list[str] = field(metadata=schema(min_items=1, unique=True))
    path: str = field(default='/', metadata=schema(pattern='^/'))
    idempotent: bool = False
    keep_key_s: float = field(default=600, metadata=schema(min=1))
    mean_kbit: int = field(default=64, metadata=schema(min=1))

    def matches(self, *, method: str, path: str) -> bool:
        """Return whether a request belongs to this route."""
        return method in self.methods and path.startswith(self.path)
