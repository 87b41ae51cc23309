"""The tokens of one customer at one coordinator."""

import math

from balsamrail.quotas.decaying_rate import DecayingRate
from balsamrail.quotas.delegations import Delegations
from balsamrail.quotas.quota_terms import QuotaTerms
from balsamrail.quotas.roles import PARTS

# Urgent requests of this time are covered before tokens accrue again.
_RESERVE_S = 1.0
_MAX_RESERVE_FRACTION = 0.5


class QuotaPool:
    """A token bucket that fills and holds in proportion to the delegated part of the fleet."""

    __slots__ = ('_demand', '_deposited', '_integral_s', '_urgent_demand', 'stock')

    def __init__(self, *, now: float) -> None:
        self.stock: float = 0
        self._integral_s: float = 0
        self._deposited: float = 0
        self._demand = DecayingRate(now=now)
        self._urgent_demand = DecayingRate(now=now)

    def give(
        self, wanted: int, *, urgent: int, terms: QuotaTerms, delegations: Delegations
    ) -> int:
        """Take up to ``wanted`` tokens and return how many.

        :param urgent: how many of them are for urgent requests, to which the last tokens are given.
        """
        self._refill(terms, delegations)
        reserve = self._reserve(terms, delegations)
        given = max(0, min(urgent, math.floor(self.stock)))
        given += max(0, min(wanted - urgent, math.floor(self.stock - given - reserve)))
        self.stock -= given
        return given

    def note_offered(self, count: int, *, now: float) -> None:
        """Count requests of callers that a host reports."""
        self._demand.add(count, now=now)

    def note_urgent(self, count: int, *, now: float) -> None:
        """Count tokens that a host wants for urgent requests."""
        self._urgent_demand.add(count, now=now)

    def demand_per_s(self) -> float:
        """Return the requests per second at all hosts, of which one part is reported here."""
        return self._demand.per_s * PARTS

    def _reserve(self, terms: QuotaTerms, delegations: Delegations) -> float:
        """Return the tokens that are kept for urgent requests while the customer asks for too much."""
        if self.demand_per_s() <= terms.rate_per_s:
            return 0
        usual = self._urgent_demand.per_s * _RESERVE_S
        return min(usual, _MAX_RESERVE_FRACTION * self._depth(terms, delegations))

    def _depth(self, terms: QuotaTerms, delegations: Delegations) -> float:
        return terms.stock * delegations.fraction() / PARTS

    def _refill(self, terms: QuotaTerms, delegations: Delegations) -> None:
        accrued = terms.rate_per_s * (delegations.integral_s - self._integral_s)
        accrued += terms.deposit * (delegations.deposited - self._deposited)
        self._integral_s = delegations.integral_s
        self._deposited = delegations.deposited
        self.stock = min(self._depth(terms, delegations), self.stock + accrued / PARTS)
