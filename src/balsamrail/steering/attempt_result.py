"""Result of an attempt at a target."""

from enum import Enum


class AttemptResult(Enum):
    """The result of one attempt, as far as it indicates the health of the target.

    ``refused`` means a refused connection or a declared refusal status. ``crashed`` means that the
    connection was lost before the response and the target then refused new connections.
    """

    ok = 'ok'
    refused = 'refused'
    failed = 'failed'
    crashed = 'crashed'
    cancelled = 'cancelled'
