"""What a host knows about the quota of one customer."""

import bisect
import math
from collections import deque
from typing import Any

from balsamrail.catalog.customer import Customer
from balsamrail.quotas.local_window import LocalWindow
from balsamrail.quotas.quota_terms import QuotaTerms
from balsamrail.quotas.waiting_requests import WaitingRequests

_RATE_WINDOW_S = 2.0
# Tokens that expire unused are lost to the customer, so a host asks for fewer than it may use.
_PREFETCH_FRACTION = 0.5
# Beyond this demand, requests for which there is no token are refused without waiting. The constant
# covers the uncertainty of the demand of small customers.
_MAX_DEMAND_RATIO = 1.25
_DEMAND_UNCERTAINTY_PER_S = 8.0


class CustomerTokens:
    """The tokens of a customer that this host holds, and the requests that wait for one.

    A token expires a fixed time after the host asked for it, on the host's own clock, so that a host
    that was suspended does not use tokens of an earlier window.

    :param customer: the customer on the terms of the manifest in force.
    :param local: what this host may run without tokens.
    """

    __slots__ = (
        '_expiries',
        '_offered_unreported',
        '_reported_at',
        '_taken_at',
        'customer',
        'demand_per_s',
        'denied_roles',
        'is_refusing',
        'last_offered_at',
        'last_refused_at',
        'local',
        'pending_roles',
        'refuses_until',
        'terms',
        'waiting',
    )

    def __init__(
        self, *, customer: Customer, terms: QuotaTerms, local: LocalWindow, now: float
    ) -> None:
        self.local = local
        self.customer = customer
        self.terms = terms
        self.waiting = WaitingRequests()
        # The roles that were asked for the requests that wait, and those that gave too few tokens.
        self.pending_roles: set[int] = set()
        self.denied_roles: set[int] = set()
        self._offered_unreported = 0
        self._reported_at = now
        self.refuses_until = -math.inf
        self.last_refused_at = -math.inf
        self.last_offered_at = now
        self.is_refusing = False
        # Requests per second at all hosts, 0 if the last reply gave all tokens that were wanted.
        self.demand_per_s: float = 0
        self._expiries: list[float] = []
        self._taken_at: deque[float] = deque()

    def note_offered(self, *, now: float) -> None:
        """Count a request of a caller."""
        self._offered_unreported += 1
        self.last_offered_at = now

    def take(self, *, now: float) -> float | None:
        """Take the token that expires first and return when; ``None`` if there is none."""
        self._taken_at.append(now)
        self._drop_old_arrivals(now)
        self._drop_expired(now)
        return self._expiries.pop(0) if self._expiries else None

    def put(self, count: int, *, expires_at: float) -> None:
        """Add tokens, for the requests that wait first."""
        for _ in range(count):
            self.put_back(expires_at)

    def put_back(self, expires_at: float) -> None:
        """Add one token, for the request that is next if any waits."""
        if not self.waiting.resolve_next(expires_at):
            bisect.insort(self._expiries, expires_at)

    def wanted(self, *, now: float) -> int:
        """Return how many tokens to ask for.

        These are the tokens for the requests that wait and for those that usually arrive during the
        lifetime of a token.
        """
        self._drop_expired(now)
        self._drop_old_arrivals(now)
        lifetime_s = self.terms.token_lifetime_s
        needed_per_s = len(self._taken_at) / _RATE_WINDOW_S
        expected = math.floor(_PREFETCH_FRACTION * needed_per_s * lifetime_s)
        waiting = len(self.waiting)
        return max(0, waiting + expected - len(self._expiries)) if waiting else 0

    def report_offered(self, *, now: float) -> int:
        """Return the requests since the last report, of the last second if it was earlier."""
        elapsed_s = max(1, now - self._reported_at)
        count = math.ceil(self._offered_unreported / elapsed_s)
        self._reported_at = now
        self._offered_unreported = 0
        return count

    def is_over_demanded(self) -> bool:
        """Return whether the requests of all hosts clearly exceed the quota."""
        usual_per_s = self.customer.rate_per_s * _MAX_DEMAND_RATIO
        return self.demand_per_s > usual_per_s + _DEMAND_UNCERTAINTY_PER_S

    def pass_waiting(self) -> None:
        """Let all requests that wait run without a token."""
        self.waiting.resolve_all(math.inf)

    def fail_waiting(self) -> None:
        """Give all requests that wait nothing."""
        self.waiting.resolve_all(-math.inf)

    def dump(self, *, now: float) -> dict[str, Any]:
        """Return the state as plain data."""
        self._drop_expired(now)
        self._drop_old_arrivals(now)
        return {
            'tokens': len(self._expiries),
            'waiting': len(self.waiting),
            'needed_per_s': len(self._taken_at) / _RATE_WINDOW_S,
            'demand_per_s': self.demand_per_s,
            'is_refusing': self.is_refusing,
        }

    def _drop_expired(self, now: float) -> None:
        del self._expiries[: bisect.bisect_right(self._expiries, now)]

    def _drop_old_arrivals(self, now: float) -> None:
        while self._taken_at and self._taken_at[0] <= now - _RATE_WINDOW_S:
            self._taken_at.popleft()
