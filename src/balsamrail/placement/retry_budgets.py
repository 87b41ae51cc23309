"""The budgets of second attempts by service."""

from collections.abc import Callable

from balsamrail.placement.retry_budget import RetryBudget
from balsamrail.settings import Bounds

# The part of the bound that is used: requests are counted where they arrive, and a host that
# starts again has forgotten what it sent.
_USED_PART = 0.5


class RetryBudgets:
    """Keeps one :class:`RetryBudget` for each service.

    :param fleet_size: tells over how many hosts the slack is spread.
    """

    __slots__ = ('_bounds', '_budgets_by_service', '_fleet_size')

    def __init__(self, *, bounds: Bounds, fleet_size: Callable[[], int]) -> None:
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self._bounds.retry_ratio * _USED_PART,
                slack=lambda: self._bounds.retry_slack * _USED_PART / max(1, self._fleet_size()),
                window_s=self._bounds.retry_window_s,
            )
            self._budgets_by_service[service] = budget
        return budget

    def left_by_service(self, *, now: float) -> dict[str, float]:
        """Return what each service's budget allows now."""
        return {
            service: budget.left(now=now) for service, budget in self._budgets_by_service.items()
        }
