"""The customers that have a quota in the manifest in force."""

from collections.abc import Callable, Mapping

from balsamrail.catalog.customer import Customer
from balsamrail.environment import Environment
from balsamrail.quotas.quota_terms import QuotaTerms


class LimitedCustomers:
    """Derives the terms once for each manifest and size of the fleet.

    :param customers: returns the customers of the manifest in force.
    """

    __slots__ = (
        '_customers',
        '_environment',
        '_fleet_size',
        '_seen',
        '_seen_fleet_size',
        '_since_by_name',
        '_terms_by_customer',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        fleet_size: Callable[[], int],
        customers: Callable[[], tuple[Customer, ...]],
    ) -> None:
        self._environment = environment
        self._fleet_size = fleet_size
        self._seen_fleet_size = 0
        self._customers = customers
        self._seen: tuple[Customer, ...] = ()
        self._terms_by_customer: dict[str, QuotaTerms] = {}
        # When this host first knew that a customer has a quota.
        self._since_by_name: dict[str, float] = {}

    def terms_by_customer(self) -> Mapping[str, QuotaTerms]:
        """Return the terms of the customers with a quota."""
        customers = self._customers()
        fleet_size = self._fleet_size()
        if customers is not self._seen or fleet_size != self._seen_fleet_size:
            self._seen = customers
            self._seen_fleet_size = fleet_size
            now = self._environment.clock.boottime()
            self._terms_by_customer = {
                customer.name: self._derive(customer)
                for customer in customers
                if customer.is_limited
            }
            self._since_by_name = {
                name: self._since_by_name.get(name, now) for name in self._terms_by_customer
            }
        return self._terms_by_customer

    def terms_of(self, customer: Customer) -> QuotaTerms:
        """Return the terms of a customer with a quota, which may belong to an earlier manifest."""
        return self.terms_by_customer().get(customer.name) or self._derive(customer)

    def is_new(self, name: str) -> bool:
        """Return whether other hosts may not know yet that the customer has a quota."""
        since = self._since_by_name.get(name)
        if since is None:
            return False
        apply_s = self._environment.settings.bounds.config_apply_s
        return self._environment.clock.boottime() - since < apply_s

    def _derive(self, customer: Customer) -> QuotaTerms:
        bounds = self._environment.settings.bounds
        return QuotaTerms.of(customer, bounds=bounds, fleet_size=self._seen_fleet_size)
