"""Client of the platform's object store."""

import asyncio
import json
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, StoreObject, WatchAnswer
from balsamrail.delivery.http_connection import HttpConnection
from balsamrail.delivery.http_message import HttpRequest, HttpResponse
from balsamrail.environment import Environment
from balsamrail.errors import (
    ExchangeError,
    HistoryGoneError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from balsamrail.platform.store_codec import (
    read_body,
    read_era,
    read_events,
    read_items,
    read_object,
)
from balsamrail.platform.store_codec import read_revision as revision_of

_OBJECTS_PATH = '/balsamrail/objects'
_MS_IN_S = 1_000
_STALE_QUERY = '?allowStale=1'
_CONNECT_TIMEOUT_S = 1.0
_USER_TIMEOUT_S = 2.0
_WATCH_TIMEOUT_MARGIN_S = 1.5
_MAX_ANSWER_BYTES = 16_777_216
# The store closes idle connections after a time-out of its own, so older ones are not reused.
_MAX_IDLE_S = 5.0
_REFUSAL_STATUSES = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))


class ObjectStore:
    """Lists, reads, watches and writes the objects of the platform's store.

    Calls share a pool of idle connections; a pending watch occupies a connection of its own::

        listing = await store.list_objects('servers')
        answer = await store.watch('servers', revision=listing.revision, wait_s=30)

    Revisions in answers carry the era of the store. The store itself knows only their numbers, so
    that a watch or a conditional write can meet the same number of a later era.

    Every method raises :class:`StoreUnavailableError` if the call was not executed, and
    :class:`StoreError` if the answer is malformed or has an unexpected status.
    """

    __slots__ = ('_environment', '_idle_connections', '_malformed_by_kind')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._idle_connections: list[HttpConnection] = []
        # The number of malformed entries in the last answer.
        self._malformed_by_kind: dict[str, int] = {}

    async def list_objects(self, kind: str, *, is_stale_allowed: bool = False) -> Listing:
        """Return all objects of a kind.

        :param is_stale_allowed: accept an answer that may be seconds old, at a tenth of the cost.
        """
        objects: list[StoreObject] = []
        revision: Revision | None = None
        query: dict[str, Any] = {'allowStale': 1} if is_stale_allowed else {}
        while True:
            suffix = f'?{urlencode(query)}' if query else ''
            answer = await self._call('GET', f'{_OBJECTS_PATH}/{kind}{suffix}', metric='list')
            payload = read_body(_require_ok(answer).body)
            era = read_era(answer.headers)
            page = read_items(payload, era=era)
            self._report_malformed(kind, payload.get('items'), len(page))
            objects.extend(page)
            if revision is None:
                # Objects of earlier pages may change while later ones are read; a watch from the
                # first page's revision returns these changes.
                revision = revision_of(payload, era=era)
            if era != revision.era:
                raise StoreError(f'the era of the store changed from {revision.era} to {era}')
            if not payload.get('hasMore') or not page:
                return Listing(objects=tuple(objects), revision=revision)
            query['after'] = page[-1].name

    async def read(
        self, kind: str, name: str, *, is_stale_allowed: bool = False
    ) -> StoreObject | None:
        """Return one object, ``None`` if it does not exist.

        :param is_stale_allowed: whether the object may be seconds old, at a tenth of the price.
        """
        query = _STALE_QUERY if is_stale_allowed else ''
        answer = await self._call('GET', f'{_object_path(kind, name)}{query}', metric='read')
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _read_stored(_require_ok(answer))

    async def watch(self, kind: str, *, revision: Revision, wait_s: float) -> WatchAnswer:
        """Return the events of a kind since ``revision``; empty if none occurred within ``wait_s``.

        :raises HistoryGoneError: if the store has dropped the history since ``revision``.
        """
        query = urlencode({'watch': revision.number, 'waitMs': int(wait_s * _MS_IN_S)})
        answer = await self._call(
            'GET',
            f'{_OBJECTS_PATH}/{kind}?{query}',
            metric='watch',
            call_timeout_s=wait_s + _WATCH_TIMEOUT_MARGIN_S,
        )
        if answer.status == HTTPStatus.GONE:
            raise HistoryGoneError(
                f'the history of {kind} since revision {revision} has been discarded'
            )
        payload = read_body(_require_ok(answer).body)
        found = read_events(payload, era=read_era(answer.headers))
        self._report_malformed(kind, payload.get('events'), len(found.events))
        return found

    async def create(self, kind: str, name: str, *, spec: Any) -> StoreObject:
        """Create an object.

        :raises StoreConflictError: if it already exists.
        :raises StoreOutcomeUnknownError: if no answer came, so that it may have been created.
        """
        body = {'metadata': {'name': name}, 'spec': spec}
        answer = await self._call('POST', f'{_OBJECTS_PATH}/{kind}', metric='create', body=body)
        return _read_written(name, answer)

    async def replace(
        self, kind: str, name: str, *, spec: Any, revision: Revision | None = None
    ) -> StoreObject:
        """Replace the ``spec`` of an object.

        :param revision: write only if the object is at this revision.
        :raises StoreConflictError: if it is at another one.
        :raises StoreOutcomeUnknownError: if no answer came, so that it may have been written.
        """
        metadata: dict[str, Any] = {'name': name}
        if revision is not None:
            metadata['revision'] = revision.number
        body = {'metadata': metadata, 'spec': spec}
        answer = await self._call('PUT', _object_path(kind, name), metric='replace', body=body)
        return _read_written(name, answer)

    async def create_or_replace(self, kind: str, name: str, *, spec: Any) -> None:
        """Create an object, or replace the ``spec`` of the one that exists, at any revision.

        :raises StoreOutcomeUnknownError: if no answer came, so that it may have been written.
        """
        try:
            await self.create(kind, name, spec=spec)
        except StoreConflictError:
            await self.replace(kind, name, spec=spec)

    async def delete(self, kind: str, name: str, *, revision: Revision) -> None:
        """Remove an object if it is at ``revision``; an object that no longer exists is no error.

        :raises StoreConflictError: if it is at another revision.
        """
        path = f'{_object_path(kind, name)}?{urlencode({"revision": revision.number})}'
        answer = await self._call('DELETE', path, metric='delete')
        if answer.status != HTTPStatus.NOT_FOUND:
            _read_written(name, answer)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle_connections:
            connection.close()
        self._idle_connections.clear()

    def _report_malformed(self, kind: str, entries: list[Any] | None, read_count: int) -> None:
        """Log how many entries of an answer have no readable name or revision, if that changed."""
        count = len(entries or ()) - read_count
        if count != self._malformed_by_kind.get(kind, 0):
            self._malformed_by_kind[kind] = count
            self._environment.metrics.count('store_objects_malformed', count)
            self._environment.log.event('store_objects_malformed', kind=kind, count=count)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        metric: str,
        call_timeout_s: float | None = None,
        body: Any = None,
    ) -> HttpResponse:
        now = self._environment.clock.monotonic()
        deadline = now + (call_timeout_s or self._environment.settings.store.timeout_s)
        self._environment.metrics.count(f'store_calls_{metric}')
        connection = await self._connection(min(deadline, now + _CONNECT_TIMEOUT_S))
        address = self._environment.settings.store.address
        request = HttpRequest(
            method=method,
            path=path,
            headers=HTTPHeaders({'Host': address}),
            body=_encode_body(body),
        )
        if body is not None:
            request.headers['Content-Type'] = 'application/json'
        try:
            answer = await connection.exchange(request, deadline=deadline)
        except ExchangeError as error:
            self._environment.metrics.count('store_calls_unanswered')
            if method == 'GET':
                raise StoreUnavailableError(error.detail) from error
            raise StoreOutcomeUnknownError(error.detail) from error
        if not connection.is_closed():
            self._idle_connections.append(connection)
        if answer.status in _REFUSAL_STATUSES:
            self._environment.metrics.count('store_calls_refused')
            raise StoreUnavailableError(f'the store refused the call with status {answer.status}')
        return answer

    async def _connection(self, deadline: float) -> HttpConnection:
        while self._idle_connections:
            idle_connection = self._idle_connections.pop()
            if idle_connection.is_idle() and idle_connection.idle_s() < _MAX_IDLE_S:
                return idle_connection
            idle_connection.close()
        connection = HttpConnection(
            environment=self._environment,
            address=self._environment.settings.store.address,
            user_timeout_s=_USER_TIMEOUT_S,
            max_response_bytes=_MAX_ANSWER_BYTES,
        )
        try:
            await connection.connect(deadline=deadline)
        except ExchangeError as error:
            self._environment.metrics.count('store_connections_failed')
            raise StoreUnavailableError(error.detail) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection


def _object_path(kind: str, name: str) -> str:
    return f'{_OBJECTS_PATH}/{kind}/{quote(name, safe="")}'


def _encode_body(body: Any) -> bytes:
    return b'' if body is None else json.dumps(body).encode()


def _require_ok(answer: HttpResponse) -> HttpResponse:
    if answer.status != HTTPStatus.OK:
        raise StoreError(f'unexpected status from the store: {answer.status}')
    return answer


def _read_stored(answer: HttpResponse) -> StoreObject:
    return read_object(read_body(answer.body), era=read_era(answer.headers))


def _read_written(name: str, answer: HttpResponse) -> StoreObject:
    if answer.status == HTTPStatus.CONFLICT:
        known = _read_stored(answer) if read_body(answer.body).get('metadata') else None
        raise StoreConflictError(name=name, version=known.revision.number if known else 0)
    if answer.status not in {HTTPStatus.OK, HTTPStatus.CREATED}:
        raise StoreError(f'unexpected status {answer.status} from the store for {name}')
    return _read_stored(answer)
