"""Cache of routing plans."""

from balsamrail.configuration import Declaration
from balsamrail.steering.routing_plan import RoutingPlan

_MAX_PLANS = 4


class RoutingPlanCache:
    """Caches the plans of recent declarations, such as the accepted one and one on trial."""

    __slots__ = ('_plans',)

    def __init__(self) -> None:
        self._plans: list[RoutingPlan] = []

    def get(self, declaration: Declaration) -> RoutingPlan:
        """Return the plan of a declaration, created on first use."""
        known = next((plan for plan in self._plans if plan.declaration is declaration), None)
        if known is None:
            known = RoutingPlan(declaration=declaration)
            self._plans = [known, *self._plans][:_MAX_PLANS]
        return known
