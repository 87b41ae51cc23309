"""HTTP calls to the store, with errors classified by whether the call may have taken effect."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from balsamrail.environment import Environment
from balsamrail.errors import StoreOutcomeUnknownError, StoreUnavailableError
from balsamrail.store._ip_address_resolver import IpAddressResolver
from balsamrail.store._responses import decode_era
from balsamrail.store.store_era import StoreEra

# A watch occupies one of them until it returns.
_MAX_CONCURRENT_CALLS = 64
# An object has at most 1 MB, and listings contain only hosts and the names of address blocks. The
# default limit of tornado is 100 MiB per call.
_MAX_RESPONSE_BYTES = 16_777_216
_FIRST_SERVER_ERROR = 500


class StoreConnection:
    """Sends calls and counts them as ``store_calls_<kind>`` and ``store_errors_<code>``."""

    __slots__ = ('_client', '_environment', 'era')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self.era = StoreEra()
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CONCURRENT_CALLS,
            resolver=IpAddressResolver(),
            max_buffer_size=_MAX_RESPONSE_BYTES,
            max_body_size=_MAX_RESPONSE_BYTES,
        )

    async def get(self, path: str, *, kind: str, wait_s: float = 0) -> HTTPResponse:
        """Send a GET request.

        :param wait_s: how long the store may delay the response, in seconds.
        :raises StoreUnavailableError: if there was no response or the store rejected the call.
        """
        timeout_s = self._environment.settings.store.timeout_s
        request = HTTPRequest(
            self._url(path),
            connect_timeout=timeout_s,
            request_timeout=timeout_s + wait_s,
        )
        try:
            response = await self._fetch(request, kind=kind)
        except Exception as error:
            raise self._unavailable_error(error) from error
        if _is_rate_limited(response.code) or response.code >= _FIRST_SERVER_ERROR:
            raise self._unavailable_error(f'status {response.code}')
        return response

    async def put(
        self, path: str, *, kind: str, body: bytes, headers: dict[str, str]
    ) -> HTTPResponse:
        """Send a PUT request.

        :raises StoreUnavailableError: if no byte of the body was sent, or the store responded that
            it rejected the call.
        :raises StoreOutcomeUnknownError: if the body was sent and no response tells the outcome.
        """
        timeout_s = self._environment.settings.store.timeout_s
        tracked_body = _TrackedBody(body=body)
        # Tornado awaits whatever the producer returns; its type stub accepts only futures.
        producer: Any = tracked_body
        request = HTTPRequest(
            self._url(path),
            method='PUT',
            headers={**headers, 'Content-Length': str(len(body))},
            body_producer=producer,
            follow_redirects=False,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            response = await self._fetch(request, kind=kind)
        except Exception as error:
            if tracked_body.sending_started:
                raise self.outcome_unknown_error(error) from error
            raise self._unavailable_error(error) from error
        if _is_rate_limited(response.code):
            raise self._unavailable_error(f'status {response.code}')
        if response.code >= _FIRST_SERVER_ERROR:
            raise self.outcome_unknown_error(f'status {response.code}')
        return response

    def outcome_unknown_error(self, cause: object) -> StoreOutcomeUnknownError:
        """Count a write whose outcome is unknown and return its error."""
        self._environment.metrics.count('store_errors_outcome_unknown')
        return StoreOutcomeUnknownError(_describe(cause))

    def _unavailable_error(self, cause: object) -> StoreUnavailableError:
        self._environment.metrics.count('store_errors_unavailable')
        return StoreUnavailableError(_describe(cause))

    async def _fetch(self, request: HTTPRequest, *, kind: str) -> HTTPResponse:
        metrics = self._environment.metrics
        metrics.count(f'store_calls_{kind}')
        started_at = self._environment.clock.monotonic()
        response = await self._client.fetch(request, raise_error=False)
        metrics.record(f'store_{kind}', self._environment.clock.monotonic() - started_at)
        era = decode_era(response.headers)
        if era > self.era.number:
            self.era = StoreEra(number=era, seen_at_wall_s=self._environment.clock.wall())
        return response

    def _url(self, path: str) -> str:
        return f'http://{self._environment.settings.store.address}{path}'


class _TrackedBody:
    """Body producer that records whether sending has started.

    A request of whose body nothing was sent cannot have taken effect.
    """

    __slots__ = ('_body', 'sending_started')

    def __init__(self, *, body: bytes) -> None:
        self._body = body
        self.sending_started = False

    async def __call__(self, write: Callable[[bytes], Any]) -> None:
        self.sending_started = True
        await write(self._body)


def _is_rate_limited(status: int) -> bool:
    return status == HTTPStatus.TOO_MANY_REQUESTS


def _describe(cause: object) -> str:
    return str(cause) or type(cause).__name__
