"""How the bound on a customer's requests is divided."""

import math
from dataclasses import dataclass

from balsamrail.catalog.customer import Customer
from balsamrail.settings import Bounds

# The longest time from taking a token to the run, beyond the shortest, that the bound allows for.
MAX_RUN_DELAY_S = 0.75
# The part of the bound that hosts use without asking. The remainder gives 0.75 of the rate, so that a
# customer whose callers are all at a few hosts still gets its usual use, 1 / 1.6 of the rate.
_LOCAL_FRACTION = 0.25
# Fractions of what may run in a window beyond the rate, see docs/design/quotas.md. The remainder is
# divided between the stock of the coordinators and the deposit.
# With 0.2, tokens of large customers expired on the way when a round trip took 0.3 s on busy hosts.
_LIFETIME_FRACTION = 0.4
_DELAY_FRACTION = 0.2
# Longer lifetimes would save few messages.
_MAX_LIFETIME_S = 1.0
_DEPOSIT_FRACTION = 0.4
# With fewer, most requests of small customers would find them used up, while other hosts' lie idle.
_MIN_LOCAL_LIMIT = 2
# The least that may run beyond the rate. With less, ordinary variations of the arrivals are refused,
# and with 8 the stock of a coordinator was less than one token.
_MIN_SPARE_S = 0.8
_MIN_SPARE = 15.0
# The part of the rate that may be given up for that.
_MAX_RATE_REDUCTION = 0.5
# With less, in seconds of the rate, tokens expire on the way to hosts that are slow to answer.
_AMPLE_SPARE_S = 1.65


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaTerms:
    """The quota of a customer.

    :param local_limit: the requests that each host may run in a window without asking.
    :param rate_per_s: tokens per second of all coordinators together.
    :param stock: the tokens that they may keep.
    :param deposit: the tokens that coordinators without history may start with.
    :param token_lifetime_s: how long a host may keep a token.
    """

    local_limit: int
    rate_per_s: float
    stock: float
    deposit: float
    token_lifetime_s: float

    @classmethod
    def of(cls, customer: Customer, *, bounds: Bounds, fleet_size: int) -> 'QuotaTerms':
        """Divide what the customer may run in any window.

        :param customer: has a quota.
        :param fleet_size: the number of hosts that may run requests.
        """
        window_s = bounds.quota_window_s
        quota = customer.rate_per_s * window_s + customer.burst
        limit = quota * (1 + bounds.quota_overage) + bounds.quota_slack
        local_limit = math.floor(_LOCAL_FRACTION * limit / fleet_size)
        if local_limit < _MIN_LOCAL_LIMIT:
            local_limit = 0
        shared = limit - local_limit * fleet_size
        # The burst is there again in each window, so that its part of the rate is the customer's too, as far
        # as enough is left beyond the rate.
        rate = max(
            customer.rate_per_s * shared / limit,
            min(quota / window_s * shared / limit, shared / (window_s + _AMPLE_SPARE_S)),
        )
        spare = shared - rate * window_s
        missing = max(0, max(_MIN_SPARE_S * rate, _MIN_SPARE) - spare)
        reduction = min(_MAX_RATE_REDUCTION, missing / (rate * window_s))
        spare += reduction * rate * window_s
        rate *= 1 - reduction
        lifetime_s = min(_MAX_LIFETIME_S, _LIFETIME_FRACTION * spare / rate)
        delay_s = min(MAX_RUN_DELAY_S, _DELAY_FRACTION * spare / rate)
        stock = spare - rate * (lifetime_s + delay_s)
        return cls(
            local_limit=local_limit,
            rate_per_s=rate,
            stock=stock * (1 - _DEPOSIT_FRACTION),
            deposit=stock * _DEPOSIT_FRACTION,
            token_lifetime_s=lifetime_s,
        )
