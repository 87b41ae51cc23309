"""One attempt to send a request, as the input of admission."""

from dataclasses import dataclass

from balsamrail.configuration import Cap, Route
from balsamrail.steering.routing_plan import RoutingPlan


@dataclass(slots=True, kw_only=True, frozen=True)
class Attempt:
    """One attempt of one request.

    :param tried: addresses of earlier attempts, which are excluded.
    :param only: addresses that may be selected, all if ``None``.
    :param is_counted: whether the request is already counted as arrived for the spillover cap.
    """

    plan: RoutingPlan
    service: str
    route: Route | None
    tried: frozenset[str]
    only: frozenset[str] | None
    now: float
    is_counted: bool = False

    @property
    def cap(self) -> Cap:
        """The cap on requests that spill over to another region."""
        return self.plan.declaration.services[self.service].failover_cap

    def allows(self, address: str) -> bool:
        """Return whether the target at ``address`` may be selected."""
        return address not in self.tried and (self.only is None or address in self.only)
