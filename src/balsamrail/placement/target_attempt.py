"""A request that is in flight at a target."""

from dataclasses import dataclass
from enum import Enum


class AttemptOutcome(Enum):
    """The outcome of a request at a target."""

    answered = 'answered'
    # The target responded that it did not run the request.
    refused = 'refused'
    # The response was truncated or invalid, or the target returned an error.
    failed = 'failed'
    timed_out = 'timed_out'
    # The caller disconnected or the target was not reached; not counted for the target's health.
    abandoned = 'abandoned'


@dataclass(slots=True, kw_only=True, eq=False)
class TargetAttempt:
    """One request at one target.

    :param sent_at: the time of sending, in seconds of the event loop.
    :param expected_s: the expected time until the response, ``None`` if it is not known.
    :param is_known: whether this host has recently sent the target a request for the object.
    :param queue_factor: the expected time including the wait for a slot, in multiples of a run.
    :param max_silence_s: for how long the target may send nothing while it has this request.
    :param has_response: whether the head of a response has arrived.
    """

    route: str
    sent_at: float
    expected_s: float | None
    queue_factor: float
    is_known: bool
    max_silence_s: float
    has_response: bool = False
