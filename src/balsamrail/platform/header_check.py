"""Checks that need only the header of a caller's request."""

from collections.abc import Callable
from dataclasses import dataclass

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.errors import BadRequestError, HeadersTooLargeError, TooLargeError
from balsamrail.platform.headers import CUSTOMER, HANDOVER

# Bytes of a header line besides its name and value: the colon and the line break. The space after
# the colon is optional, and is not counted: a header of exactly the limit without spaces is legal.
_LINE_OVERHEAD_BYTES = 3
# Headers that another host adds to the request of its caller, which do not count as the caller's.
_ADDED_HEADERS = frozenset((CUSTOMER, HANDOVER))
# A field is a few objects besides its text.
_FIELD_MEMORY_BYTES = 400
# What a body that is being received takes besides its bytes: the connection and its tasks, the last
# part, which Tornado keeps, and the unfinished piece. Chunks are collected in one more buffer.
_BODY_MEMORY_BYTES = 32_768
_CHUNKED_MEMORY_BYTES = 65_536


@dataclass(slots=True, kw_only=True)
class HeaderSize:
    """The size of a header as sent, and in the memory of the host.

    :param reception_bytes: what the reception of the body takes besides the body.
    """

    sent_bytes: int
    held_bytes: int
    reception_bytes: int

    @classmethod
    def of(cls, request: EntryRequest) -> 'HeaderSize':
        """Measure the header of a request."""
        sizes = [
            len(name) + len(value) + _LINE_OVERHEAD_BYTES
            for name, value in request.headers.get_all()
            if request.handover is None or name not in _ADDED_HEADERS
        ]
        sent_bytes = len(request.path) + sum(sizes)
        reception_bytes = _BODY_MEMORY_BYTES if _has_length(request) else 0
        if _is_chunked(request):
            reception_bytes = _CHUNKED_MEMORY_BYTES
        return cls(
            sent_bytes=sent_bytes,
            held_bytes=sent_bytes + len(sizes) * _FIELD_MEMORY_BYTES,
            reception_bytes=reception_bytes,
        )


def check_header(
    request: EntryRequest,
    size: HeaderSize,
    *,
    limits: CallerLimits,
    check_route: Callable[[EntryRequest], None],
) -> None:
    """Check a request whose body, if it has one, has not been received.

    :param check_route: called if the request has a body; raises if the body need not be received.
    :raises RequestError: if the request is to be rejected.
    """
    if size.sent_bytes > limits.header_bytes:
        raise HeadersTooLargeError(detail='the headers exceed the size limit')
    length = request.headers.get('Content-Length', '0')
    if not length.isascii() or not length.isdigit():
        raise BadRequestError(detail='Content-Length is not a number')
    digits = length.lstrip('0')
    # Python converts no number of thousands of digits.
    if len(digits) > len(str(limits.body_bytes)) or int(length) > limits.body_bytes:
        raise TooLargeError(detail='the body exceeds the size limit')
    if _has_length(request) or _is_chunked(request):
        check_route(request)


def _has_length(request: EntryRequest) -> bool:
    return bool(request.headers.get('Content-Length', '').strip('0'))


def _is_chunked(request: EntryRequest) -> bool:
    return 'Transfer-Encoding' in request.headers
