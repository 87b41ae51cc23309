"""One attempt to send a request, as the input of admission."""

from dataclasses import dataclass

from balsamrail.configuration import Cap, Route
from balsamrail.steering.routing_plan import RoutingPlan


@dataclass(slots=True, kw_only=True, frozen=True)
class Attempt:
    """One attempt of one request.

    :param tried_addresses: addresses of earlier attempts, which are excluded.
    :param allowed_addresses: addresses that may be selected, all if ``None``.
    :param is_counted: whether the request is already counted as arrived for the spillover cap.
    """

    plan: RoutingPlan
    service: str
    route: Route | None
    tried_addresses: frozenset[str]
    allowed_addresses: frozenset[str] | None
    now: float
    is_counted: bool = False

    @property
    def cap(self) -> Cap:
        """The cap on requests that spill over to another region."""
        return self.plan.declaration.services[self.service].failover_cap

    def allows(self, address: str) -> bool:
        """Return whether the target at ``address`` may be selected."""
        return address not in self.tried_addresses and (
            self.allowed_addresses is None or address in self.allowed_addresses
        )
