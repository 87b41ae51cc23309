"""The plans of the declarations in use."""

from balsamrail.configuration import Declaration
from balsamrail.steering.plan import Plan

_KEPT = 4


class Plans:
    """Keeps the plans of the last declarations: the accepted one and the one on trial."""

    __slots__ = ('_plans',)

    def __init__(self) -> None:
        self._plans: list[Plan] = []

    def get(self, declaration: Declaration) -> Plan:
        """Return the plan of a declaration."""
        known = next((plan for plan in self._plans if plan.declaration is declaration), None)
        if known is None:
            known = Plan(declaration=declaration)
            self._plans = [known, *self._plans][:_KEPT]
        return known
