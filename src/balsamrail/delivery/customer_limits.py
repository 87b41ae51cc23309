"""Interface of the limits on customers' requests."""

from typing import Protocol

from balsamrail.catalog.customer import Customer


class RunGrant(Protocol):
    """Permission to run one request."""

    def release_unused(self) -> None:
        """Return the permission, since the request has not run; idempotent."""


class CustomerLimits(Protocol):
    """Decides whether a request of a customer may run."""

    async def acquire(self, customer: Customer, *, is_urgent: bool) -> RunGrant:
        """Return the permission to run one request of a customer.

        :param is_urgent: the request comes before others of the customer.
        :raises QuotaExceededError: if the requests of the customer exceed its quota.
        """
