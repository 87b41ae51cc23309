"""The fingerprint under which the crashes of a request are counted."""

from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.exchange.fingerprint import digest_of, fingerprint_of


class RequestFingerprint:
    """Identifies a request that a caller sends again, whatever service its route leads to.

    A split of the route or a new manifest must not make it another request, so the service is no
    part of it. The affinity key is none either: it names an object, and callers may send it or not.
    A request of one caller is not held responsible for what the same request of another one did.
    Callers are told apart by the customer, which keeps its name when its API key changes, and
    otherwise by the credentials, if targets get them.

    Hosts of earlier versions counted the crashes for each service apart, under
    :meth:`of_service`::

        fingerprint = RequestFingerprint(request=request)
        fingerprint.value
        fingerprint.of_service('bookings')
    """

    __slots__ = ('_request', '_value')

    def __init__(self, *, request: EntryRequest) -> None:
        self._request = request
        self._value: bytes | None = None

    @property
    def value(self) -> bytes:
        """The digest; computed when it is first needed, since few requests crash targets."""
        if self._value is None:
            request = self._request
            texts = ('request', request.host, request.method, request.path)
            self._value = digest_of((*texts, *_caller_of(request)), body=request.body)
        return self._value

    def of_service(self, service: str) -> bytes:
        """Return the fingerprint of the request at one service, for hosts of earlier versions."""
        return fingerprint_of(
            service=service,
            method=self._request.method,
            path=self._request.path,
            body=self._request.body,
        )


def _caller_of(request: EntryRequest) -> tuple[str, ...]:
    if request.customer_name is not None:
        return ('customer', request.customer_name)
    return ('',) if request.hides_credentials else (request.credentials,)
