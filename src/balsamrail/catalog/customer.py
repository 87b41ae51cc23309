"""A customer of the manifest."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class Customer:
    """Who sends requests with certain API keys, and on which terms they are served.

    :param api_keys: the keys that identify requests of the customer. They are secrets: they are
        compared only, and never logged, dumped or sent to targets.
    :param priority: replaces the priority of the route; ``None`` if the route's priority holds.
    :param rate_per_s: the requests per second that all hosts together run for the customer; 0 if
        they are not limited.
    :param burst: the requests that may run beyond ``rate_per_s`` at once.
    :param allowed_regions: the regions in which requests may be processed; empty if anywhere.
    """

    name: str
    api_keys: frozenset[str] = field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_limited(self) -> bool:
        """Whether the customer has a quota."""
        return self.rate_per_s > 0
