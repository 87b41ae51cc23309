"""What was received of one answer."""

from collections.abc import Callable
from dataclasses import dataclass

# Ends an answer for a reason.
AbortCallback = Callable[[str], None]


@dataclass(slots=True, kw_only=True, eq=False)
class ResponseUsage:
    """Counts the bytes of one answer, its head and framing included.

    :param abort: ends the answer.
    """

    abort: AbortCallback
    received_bytes: int = 0
