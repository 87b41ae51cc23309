"""Byte count of one response."""

from collections.abc import Callable
from dataclasses import dataclass

# Aborts a response; the argument is the reason.
AbortCallback = Callable[[str], None]


@dataclass(slots=True, kw_only=True, eq=False)
class ResponseUsage:
    """Counts the bytes of one response, including its header and framing.

    :param abort: aborts the response.
    """

    abort: AbortCallback
    received_bytes: int = 0
