"""A request that is at a target."""

from dataclasses import dataclass
from enum import Enum


class Ending(Enum):
    """How a request at a target ended."""

    answered = 'answered'
    # The target said that it did not run the request.
    refused = 'refused'
    # An answer that is cut off or wrong, or an error of the target.
    failed = 'failed'
    timed_out = 'timed_out'
    # The caller left, or the target was not reached; it says nothing of the target's answers.
    abandoned = 'abandoned'


@dataclass(slots=True, kw_only=True, eq=False)
class Sending:
    """One request at one target.

    :param sent_at: when it was sent, in seconds of the event loop.
    :param expected_s: the usual time until its answer, ``None`` if it is not known.
    :param is_known: whether this host sent a request for the object there before.
    :param waits: how many runs' time it was expected to take, waiting for a slot included.
    """

    route: str
    sent_at: float
    expected_s: float | None
    waits: float
    is_known: bool
