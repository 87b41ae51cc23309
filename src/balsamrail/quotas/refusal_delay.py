"""When a refused caller may try again."""

import random

from balsamrail.quotas.customer_tokens import CustomerTokens

_MIN_DELAY_S = 0.1
_BASE_DELAY_S = 0.5
# Spreads callers that were refused together.
_SPREAD = (0.5, 1.5)


def retry_after_s(tokens: CustomerTokens, *, window_s: float) -> float:
    """Return the delay before a retry in seconds, longer the more callers compete for a token."""
    rate = tokens.customer.rate_per_s
    competing = max(1, tokens.demand_per_s / rate)
    base_s = max(1 / rate, competing * _BASE_DELAY_S)
    return min(window_s, max(_MIN_DELAY_S, min(window_s, base_s) * random.uniform(*_SPREAD)))
