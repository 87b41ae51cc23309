"""The client of the platform's store."""

from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any, NoReturn, TypeVar
from urllib.parse import quote, urlencode

from tornado.httpclient import HTTPResponse

from balsamrail.environment import Environment
from balsamrail.errors import StoreConflictError, StoreError
from balsamrail.store._answers import answered_version, decode_answer, encode_value
from balsamrail.store._connection import StoreConnection
from balsamrail.store.listed_host import ListedHost
from balsamrail.store.stored_object import StoredObject

ValueT = TypeVar('ValueT')


class HttpStore:
    """The :class:`balsamrail.store.Store` over HTTP, with the timeouts of ``settings.store``.

    A version is what a later conditional write names::

        found = await store.read('record')
        await store.write('record', value=changed, version=found.version if found else 0)

    Besides the errors of the protocol, an answer that is not JSON and a status that the protocol
    does not name raise :class:`balsamrail.errors.StoreError`.
    """

    __slots__ = ('_connection', '_environment')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._connection = StoreConnection(environment=environment)

    async def read(self, name: str) -> StoredObject | None:
        """Return the object, ``None`` if it does not exist."""
        response = await self._connection.get(_object_path(name), kind='read')
        if response.code == HTTPStatus.NOT_FOUND:
            return None
        return _stored_object(name, response)

    async def write(self, name: str, *, value: Any, version: int) -> int:
        """Write conditionally on ``version``, 0 to create, and return the new version."""
        condition = {'If-Match': f'"{version}"'} if version else {'If-None-Match': '*'}
        response = await self._connection.put(
            _object_path(name), kind='write', body=encode_value(value), headers=condition
        )
        match response.code:
            case HTTPStatus.OK:
                try:
                    return answered_version(response.body)
                except StoreError as error:
                    raise self._connection.unknown(error) from error
            case HTTPStatus.PRECONDITION_FAILED:
                self._environment.metrics.count('store_conflicts')
                raise StoreConflictError(name=name, version=answered_version(response.body))
        _raise_unexpected(response)

    async def watch(self, name: str, *, version: int) -> StoredObject | None:
        """Wait until the object's version differs, ``None`` if it did not within ``watch_s``."""
        watch_s = self._environment.settings.store.watch_s
        query = urlencode({'watch': version, 'wait_s': watch_s})
        response = await self._connection.get(
            f'{_object_path(name)}?{query}', kind='watch', wait_s=watch_s
        )
        if response.code == HTTPStatus.NOT_MODIFIED:
            return None
        return _stored_object(name, response)

    async def list_names(self, *, prefix: str) -> dict[str, int]:
        """Return the version of each object whose name begins with ``prefix``."""
        query = urlencode({'prefix': prefix})
        response = await self._connection.get(f'/objects?{query}', kind='list')
        with _checked_fields():
            objects = _expect_ok(response)['objects']
            return {
                _expect(entry['name'], str): _expect(entry['version'], int) for entry in objects
            }

    async def list_hosts(self) -> list[ListedHost]:
        """Return the platform's host list, which lags."""
        response = await self._connection.get('/hosts', kind='hosts')
        with _checked_fields():
            return [
                ListedHost(
                    host=_expect(entry['host'], str),
                    address=_expect(entry['address'], str),
                    state=_expect(entry['state'], str),
                )
                for entry in _expect_ok(response)['hosts']
            ]

    async def announce_host(self, host: ListedHost) -> None:
        """Tell the platform the state of this host."""
        response = await self._connection.put(
            f'/hosts/{quote(host.host)}',
            kind='write_host',
            body=encode_value({'address': host.address, 'state': host.state}),
            headers={},
        )
        if response.code != HTTPStatus.OK:
            _raise_unexpected(response)


@contextmanager
def _checked_fields() -> Iterator[None]:
    try:
        yield
    except (KeyError, TypeError) as error:
        raise StoreError(f'the answer has another form: {error}') from error


def _expect(value: Any, kind: type[ValueT]) -> ValueT:
    if type(value) is not kind:
        raise TypeError(f'{value!r} is not {kind.__name__}')
    return value


def _object_path(name: str) -> str:
    return f'/objects/{quote(name)}'


def _stored_object(name: str, response: HTTPResponse) -> StoredObject:
    answer = _expect_ok(response)
    if type(answer.get('version')) is not int or 'value' not in answer:
        raise StoreError(f'the answer for {name} carries no version or no value')
    return StoredObject(name=name, version=answer['version'], value=answer['value'])


def _expect_ok(response: HTTPResponse) -> dict[str, Any]:
    if response.code != HTTPStatus.OK:
        _raise_unexpected(response)
    return decode_answer(response.body)


def _raise_unexpected(response: HTTPResponse) -> NoReturn:
    raise StoreError(f'unexpected status {response.code} for {response.request.url}')
