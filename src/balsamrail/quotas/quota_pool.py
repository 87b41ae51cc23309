"""The tokens of one customer at one coordinator."""

import math

from balsamrail.quotas.delegations import Delegations
from balsamrail.quotas.quota_terms import QuotaTerms
from balsamrail.quotas.roles import PARTS

_DEMAND_DECAY_S = 2.0


class QuotaPool:
    """A token bucket that fills and holds in proportion to the delegated part of the fleet."""

    __slots__ = ('_demand', '_demand_at', '_deposited', '_integral_s', 'stock')

    def __init__(self, *, now: float) -> None:
        self.stock: float = 0
        self._integral_s: float = 0
        self._deposited: float = 0
        self._demand: float = 0
        self._demand_at = now

    def give(self, wanted: int, *, terms: QuotaTerms, delegations: Delegations) -> int:
        """Take up to ``wanted`` tokens and return how many."""
        self._refill(terms, delegations)
        given = max(0, min(wanted, math.floor(self.stock)))
        self.stock -= given
        return given

    def note_offered(self, count: int, *, now: float) -> None:
        """Count requests of callers that a host reports."""
        decay = math.exp((self._demand_at - now) / _DEMAND_DECAY_S)
        self._demand = self._demand * decay + count / _DEMAND_DECAY_S
        self._demand_at = now

    def demand_per_s(self) -> float:
        """Return the requests per second at all hosts, of which one part is reported here."""
        return self._demand * PARTS

    def _refill(self, terms: QuotaTerms, delegations: Delegations) -> None:
        accrued = terms.rate_per_s * (delegations.integral_s - self._integral_s)
        accrued += terms.deposit * (delegations.deposited - self._deposited)
        self._integral_s = delegations.integral_s
        self._deposited = delegations.deposited
        depth = terms.stock * delegations.fraction() / PARTS
        self.stock = min(depth, self.stock + accrued / PARTS)
