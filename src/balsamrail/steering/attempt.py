"""What an admission is asked for."""

from dataclasses import dataclass

from balsamrail.configuration import Cap, Route
from balsamrail.steering.plan import Plan


@dataclass(slots=True, kw_only=True, frozen=True)
class Attempt:
    """One attempt of one request.

    :param tried: addresses that must not be picked again.
    :param only: addresses that may be picked, all if ``None``.
    :param counted: whether an earlier look already counted the request against the cap.
    """

    plan: Plan
    service: str
    route: Route | None
    tried: frozenset[str]
    only: frozenset[str] | None
    now: float
    counted: bool = False

    @property
    def cap(self) -> Cap:
        """The cap on requests that leave their region."""
        return self.plan.declaration.services[self.service].failover_cap

    def allows(self, address: str) -> bool:
        """Return whether the target at ``address`` may be picked."""
        return address not in self.tried and (self.only is None or address in self.only)
