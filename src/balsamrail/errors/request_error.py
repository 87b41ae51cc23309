"""The base class of errors that are returned to a caller."""

from typing import ClassVar

from balsamrail.errors.balsamrail_error import BalsamrailError


class RequestError(BalsamrailError):
    """Base class of errors that the system itself, not an upstream, returns to a caller.

    :param detail: a human-readable description.
    :param retry_after_s: the delay before a retry in seconds; ``None`` if a retry does not help.
    """

    code = 'request_failed'
    status: ClassVar[int] = 500
    outcome: ClassVar[str] = 'refused'

    def __init__(self, *, detail: str, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s
