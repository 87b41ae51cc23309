"""HTTP client of the platform's store."""

from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any, NoReturn, TypeVar
from urllib.parse import quote, urlencode

from tornado.httpclient import HTTPResponse

from balsamrail.environment import Environment
from balsamrail.errors import HistoryGoneError, StoreConflictError, StoreError
from balsamrail.store._connection import StoreConnection
from balsamrail.store._responses import (
    ERA_HEADER,
    decode_era,
    decode_response,
    decode_version,
    encode_value,
)
from balsamrail.store.listed_host import ListedHost
from balsamrail.store.store_era import StoreEra
from balsamrail.store.stored_object import StoredObject
from balsamrail.store.versions import join_version, split_version

_ENTRY_ERRORS = (KeyError, TypeError, ValueError, StoreError)
ValueT = TypeVar('ValueT')


class HttpStore:
    """The :class:`balsamrail.store.Store` over HTTP, with the timeouts of ``settings.store``.

    A later conditional write specifies the version that was read::

        found = await store.read('record')
        await store.write('record', value=changed, version=found.version if found else 0)

    In addition to the errors of the protocol, a response that is not JSON and an unexpected status
    raise :class:`balsamrail.errors.StoreError`.
    """

    __slots__ = ('_connection', '_environment', '_malformed_by_kind')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._connection = StoreConnection(environment=environment)
        # The fault of the last malformed entry, which is logged once.
        self._malformed_by_kind: dict[str, str] = {}

    @property
    def era(self) -> StoreEra:
        """The latest era that an answer told."""
        return self._connection.era

    async def read(self, name: str) -> StoredObject | None:
        """Return the object, ``None`` if it does not exist."""
        response = await self._connection.get(_object_path(name), kind='read')
        if response.code == HTTPStatus.NOT_FOUND:
            return None
        return _stored_object(name, response)

    async def write(self, name: str, *, value: Any, version: int) -> int:
        """Write if the object is at ``version``, 0 to create it, and return the new version."""
        condition = _write_condition(version)
        response = await self._connection.put(
            _object_path(name), kind='write', body=encode_value(value), headers=condition
        )
        match response.code:
            case HTTPStatus.OK:
                try:
                    return _decode_version(response)
                except StoreError as error:
                    raise self._connection.outcome_unknown_error(error) from error
            case HTTPStatus.PRECONDITION_FAILED:
                self._environment.metrics.count('store_conflicts')
                raise StoreConflictError(name=name, version=_decode_version(response))
        _raise_unexpected(response)

    async def watch(self, name: str, *, version: int) -> StoredObject | None:
        """Wait for another version and return it, ``None`` if there is none within ``watch_s``.

        :raises HistoryGoneError: if the store does not have ``version``, since it came back from a
            copy.
        """
        watch_s = self._environment.settings.store.watch_s
        era, number = split_version(version)
        known = {'watch': number, 'era': era} if version else {'watch': number}
        query = urlencode({**known, 'wait_s': watch_s})
        response = await self._connection.get(
            f'{_object_path(name)}?{query}', kind='watch', wait_s=watch_s
        )
        is_lost = version > 0 and era != decode_era(response.headers)
        if response.code == HTTPStatus.GONE or (
            is_lost and response.code == HTTPStatus.NOT_MODIFIED
        ):
            raise HistoryGoneError(f'version {version} of {name} is gone')
        if response.code == HTTPStatus.NOT_MODIFIED:
            return None
        return _stored_object(name, response)

    async def list_names(self, *, prefix: str) -> dict[str, int]:
        """Return the version of each object whose name starts with ``prefix``."""
        query = urlencode({'prefix': prefix})
        response = await self._connection.get(f'/objects?{query}', kind='list')
        with _validated_fields():
            entries = _require_type(_decode_ok(response)['objects'], list)
        version_by_name = {}
        for entry in entries:
            with self._skipping_malformed('object'):
                name = _require_type(entry['name'], str)
                version_by_name[name] = _join_version(response, entry['version'])
        return version_by_name

    async def list_hosts(self) -> list[ListedHost]:
        """Return the platform's host list, which may be outdated."""
        response = await self._connection.get('/hosts', kind='hosts')
        with _validated_fields():
            entries = _require_type(_decode_ok(response)['hosts'], list)
        hosts = []
        for entry in entries:
            with self._skipping_malformed('host'):
                listed = ListedHost(
                    host=_require_type(entry['host'], str),
                    address=_require_type(entry['address'], str),
                    state=_require_type(entry['state'], str),
                )
                hosts.append(listed)
        return hosts

    async def announce_host(self, host: ListedHost) -> None:
        """Publish the state of this host in the host list."""
        response = await self._connection.put(
            f'/hosts/{quote(host.host)}',
            kind='write_host',
            body=encode_value({'address': host.address, 'state': host.state}),
            headers={},
        )
        if response.code != HTTPStatus.OK:
            _raise_unexpected(response)

    @contextmanager
    def _skipping_malformed(self, kind: str) -> Iterator[None]:
        """Skip an entry of a listing that another client has written wrong."""
        try:
            yield
        except _ENTRY_ERRORS as error:
            fault = repr(error)
            self._environment.metrics.count('store_entries_malformed')
            if self._malformed_by_kind.get(kind) != fault:
                self._malformed_by_kind[kind] = fault
                self._environment.log.event('store_entry_malformed', kind=kind, reason=fault)


@contextmanager
def _validated_fields() -> Iterator[None]:
    try:
        yield
    except (KeyError, TypeError) as error:
        raise StoreError(f'unexpected response format: {error}') from error


def _require_type(value: Any, kind: type[ValueT]) -> ValueT:
    if type(value) is not kind:
        raise TypeError(f'{value!r} is not {kind.__name__}')
    if isinstance(value, str):
        # A surrogate could not be logged or sent.
        value.encode()
    return value


def _object_path(name: str) -> str:
    return f'/objects/{quote(name)}'


def _stored_object(name: str, response: HTTPResponse) -> StoredObject:
    answer = _decode_ok(response)
    if 'value' not in answer:
        raise StoreError(f'the response for {name} has no value')
    return StoredObject(name=name, version=_decode_version(response), value=answer['value'])


def _decode_version(response: HTTPResponse) -> int:
    return _join_version(response, decode_version(response.body))


def _join_version(response: HTTPResponse, number: Any) -> int:
    try:
        return join_version(era=decode_era(response.headers), number=_require_type(number, int))
    except ValueError as error:
        raise StoreError(str(error)) from error


def _write_condition(version: int) -> dict[str, str]:
    era, number = split_version(version)
    condition = {'If-Match': f'"{number}"'} if number else {'If-None-Match': '*'}
    # Without the era, the condition would also hold for another state with the same number.
    return {**condition, ERA_HEADER: str(era)} if version else condition


def _decode_ok(response: HTTPResponse) -> dict[str, Any]:
    if response.code != HTTPStatus.OK:
        _raise_unexpected(response)
    return decode_response(response.body)


def _raise_unexpected(response: HTTPResponse) -> NoReturn:
    raise StoreError(f'unexpected status {response.code} for {response.request.url}')
