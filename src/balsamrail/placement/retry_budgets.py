"""Retry budgets by service."""

from collections.abc import Callable

from balsamrail.placement.retry_budget import RetryBudget
from balsamrail.settings import Bounds

# The fraction of the limit that is used: requests are counted by the host that receives them, and a
# restarted host has lost its count of the retries that it sent.
_USED_FRACTION = 0.5


class RetryBudgets:
    """Keeps one :class:`RetryBudget` for each service.

    :param fleet_size: returns the number of hosts that share the slack.
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
                ratio=self._bounds.retry_ratio * _USED_FRACTION,
                slack=lambda: (
                    self._bounds.retry_slack * _USED_FRACTION / max(1, self._fleet_size())
                ),
                window_s=self._bounds.retry_window_s,
            )
            self._budgets_by_service[service] = budget
        return budget

    def remaining_by_service(self, *, now: float) -> dict[str, float]:
        """Return how many retries are allowed now, by service."""
        return {
            service: budget.remaining(now=now)
            for service, budget in self._budgets_by_service.items()
        }
