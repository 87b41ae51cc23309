"""The decision to reject a request."""

from dataclasses import dataclass

from balsamrail.placement.rendezvous_hashing import hash_text

_HASH_RANGE = 1 << 64


@dataclass(slots=True, kw_only=True, frozen=True)
class Rejection:
    """No target is available or has capacity.

    :param reason: the error code.
    :param retry_after_s: when capacity is likely to be available, in seconds.
    :param spread_s: the interval after that over which retries are spread, in seconds.
    """

    reason: str
    retry_after_s: float
    spread_s: float = 0

    def jittered_retry_after(self, request_id: str) -> float:
        """Return the retry delay of a request, jittered by its id."""
        return self.retry_after_s + self.spread_s * hash_text(request_id) / _HASH_RANGE
