"""Gives the tokens of customers to the hosts."""

from collections.abc import Callable, Mapping
from typing import Any

from balsamrail.clock import Clock
from balsamrail.messages import QuotaAsk, QuotaReply
from balsamrail.quotas.delegations import Delegations
from balsamrail.quotas.quota_pool import QuotaPool
from balsamrail.quotas.quota_terms import QuotaTerms

_MS_IN_S = 1_000
# With at least this part of the fleet the tokens cover the usual use of most customers.
_COMPLETE_FRACTION = 0.5
_UNLIMITED = -1


class QuotaCoordinator:
    """Answers for one role, without persistent state and whoever asks.

    :param terms_by_customer: the customers with a quota in the manifest in force.
    :param fleet_size: returns the number of hosts that may run requests.
    """

    __slots__ = (
        '_clock',
        '_delegations',
        '_fleet_size',
        '_pools_by_customer',
        '_terms_by_customer',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        terms_by_customer: Callable[[], Mapping[str, QuotaTerms]],
        fleet_size: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._terms_by_customer = terms_by_customer
        self._fleet_size = fleet_size
        self._delegations = Delegations(now=clock.boottime())
        self._pools_by_customer: dict[str, QuotaPool] = {}

    def answer(self, host: str, ask: QuotaAsk) -> QuotaReply:
        """Return the tokens for a host, and record whether it delegates its share."""
        now = self._clock.boottime()
        delegations = self._delegations
        # The larger of both sizes, so that a host that knows few others raises no one's share.
        delegations.advance(now=now, fleet_size=max(self._fleet_size(), ask.fleet_size))
        if ask.is_leaving:
            delegations.withdraw(host, now=now)
        elif ask.valid_ms and ask.epoch == delegations.epoch:
            delegations.delegate(
                host,
                stamp_ms=ask.stamp_ms,
                valid_ms=ask.valid_ms,
                has_deposit=ask.is_deposit,
                now=now,
            )
        given: dict[str, int] = {}
        demand: dict[str, int] = {}
        for name, wanted in ask.wanted_by_customer.items():
            given[name] = self._give(name, wanted, ask)
            if 0 <= given[name] < wanted:
                demand[name] = round(self._pools_by_customer[name].demand_per_s())
        return QuotaReply(
            role=ask.role,
            number=ask.number,
            epoch=delegations.epoch,
            stamp_ms=int(now * _MS_IN_S),
            is_complete=delegations.fraction() >= _COMPLETE_FRACTION,
            given_by_customer=given,
            demand_by_customer=demand,
        )

    def forget_customers(self) -> None:
        """Discard what belongs to customers that no longer have a quota."""
        for name in self._pools_by_customer.keys() - self._terms_by_customer().keys():
            del self._pools_by_customer[name]

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'fraction': self._delegations.fraction(),
            'stock': {name: pool.stock for name, pool in self._pools_by_customer.items()},
        }

    def _give(self, name: str, wanted: int, ask: QuotaAsk) -> int:
        terms = self._terms_by_customer().get(name)
        if terms is None:
            return _UNLIMITED
        now = self._clock.boottime()
        pool = self._pools_by_customer.get(name)
        if pool is None:
            pool = QuotaPool(now=now)
            self._pools_by_customer[name] = pool
        pool.note_offered(ask.offered_by_customer.get(name, 0), now=now)
        urgent = min(wanted, ask.urgent_by_customer.get(name, 0))
        pool.note_urgent(urgent, now=now)
        return pool.give(wanted, urgent=urgent, terms=terms, delegations=self._delegations)
