"""How an attempt at a target ended."""

from enum import Enum


class AttemptResult(Enum):
    """The result that a forwarder reports for an admission."""

    ok = 'ok'
    refused = 'refused'
    failed = 'failed'
    crashed = 'crashed'
    cancelled = 'cancelled'
