"""The headers that identify a customer: an API key from callers, a name to targets and hosts."""

from tornado.httputil import HTTPHeaders

from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.exchange.hop_headers import end_to_end_headers
from balsamrail.platform import headers

KEY_SCHEME = 'Bearer'
_HIDDEN_HEADERS = frozenset((headers.AUTHORIZATION.lower(), headers.CUSTOMER.lower()))
# Header bytes are decoded by this encoding, in which each byte is a character.
_WIRE_ENCODING = 'latin-1'


def parse_key(credentials: str) -> str:
    """Return the API key in the value of an ``Authorization`` header, empty if there is none.

    Bytes that are no UTF-8 become lone surrogates, which no key of a manifest has.
    """
    scheme, _, key = credentials.partition(' ')
    if scheme.lower() != KEY_SCHEME.lower():
        return ''
    key = key.strip(' \t')
    return key if key.isascii() else key.encode(_WIRE_ENCODING).decode(errors='surrogateescape')


class ForwardedHeaders:
    """Selects the headers of callers' requests that are sent on.

    While customers are in force, the customer's name replaces the API key and whatever the caller
    called itself.

    :param without: names of headers that are not sent on, in lower case.
    """

    __slots__ = ('_hidden', '_without')

    def __init__(self, *, without: frozenset[str]) -> None:
        self._without = without
        self._hidden = without | _HIDDEN_HEADERS

    def of(self, request: EntryRequest) -> HTTPHeaders:
        """Return the headers of a request to a target or another host."""
        if not request.hides_credentials:
            return end_to_end_headers(request.headers, without=self._without)
        fields = end_to_end_headers(request.headers, without=self._hidden)
        if request.customer_name is not None:
            fields[headers.CUSTOMER] = request.customer_name.encode().decode(_WIRE_ENCODING)
        return fields
