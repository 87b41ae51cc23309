"""Limits on the requests of a caller."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Sizes in bytes, durations in seconds.

    :param header_timeout_s: how long the headers of a request may take to arrive.
    :param idle_timeout_s: how long a keep-alive connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15
