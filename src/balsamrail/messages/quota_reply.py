"""Answer of a coordinator to a request for quota tokens."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaReply:
    """Tokens for the sender of :class:`~balsamrail.messages.quota_ask.QuotaAsk` ``number``.

    ``stamp_ms`` is the coordinator's clock, and ``epoch`` a random number of its process.
    ``is_complete`` tells whether at least half of the fleet has delegated its share to it.
    ``given_by_customer`` is -1 for a customer that has no quota in the coordinator's manifest.
    ``demand_by_customer`` has the requests per second of all hosts, for customers that got less than
    they wanted.
    """

    role: int
    number: int
    epoch: int
    stamp_ms: int
    is_complete: bool
    given_by_customer: dict[str, int]
    demand_by_customer: dict[str, int]
