"""Errors with which the tornado client ends an exchange."""

from tornado.httputil import HTTPInputError, HTTPOutputError
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

STREAM_ERRORS = (
    HTTPInputError,
    HTTPOutputError,
    OSError,
    StreamClosedError,
    UnsatisfiableReadError,
)


def underlying_error(fault: BaseException) -> BaseException:
    """Return the underlying error of a closed stream, if known."""
    return getattr(fault, 'real_error', None) or fault
