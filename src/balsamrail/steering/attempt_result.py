"""How an attempt at a target ended."""

from enum import Enum


class AttemptResult(Enum):
    """The outcome of one attempt, as far as it says something about the target.

    ``refused`` is a connection that was refused or a declared refusal status, ``crashed`` a
    connection that died with the request unanswered while the target then refuses new ones.
    """

    ok = 'ok'
    refused = 'refused'
    failed = 'failed'
    crashed = 'crashed'
    cancelled = 'cancelled'
