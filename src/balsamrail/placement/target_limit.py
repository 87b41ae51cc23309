"""The request rate that a target in need has named."""

import math
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class TargetLimit:
    """A limit in force, and what this host has sent under it.

    :param per_s: how many requests per second the target takes from all hosts together.
    :param since: when the target first named a limit, in seconds of the event loop.
    :param named_at: when it last did so to this host, ``-inf`` if it has not.
    :param tokens: the number of requests that this host may send at once.
    :param refilled_at: when the tokens were last brought up to date.
    :param full_since: since when this host has had all tokens, ``None`` if it has not.
    :param sent_at: when this host last sent a request.
    :param most_urgent: the most urgent priority among recent requests, 0 is the highest.
    :param most_urgent_at: when such a request came.
    """

    per_s: float
    since: float
    named_at: float = -math.inf
    tokens: float = 0
    refilled_at: float
    full_since: float | None = None
    sent_at: float = 0
    most_urgent: int | None = None
    most_urgent_at: float = 0
