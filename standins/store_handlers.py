"""HTTP handlers of the store stand-in."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tornado.web import Finish, RequestHandler

from standins.host_list import HostList
from standins.rate_limit import RateLimit
from standins.serving import drop_connection
from standins.store_copy import StoreCopy
from standins.store_faults import StoreFaults
from standins.store_objects import StoreObjects

MAX_VALUE_BYTES = 1_000_000
ERA_HEADER = 'Store-Era'
GARBLED_ANSWER = b'{"version": "'


@dataclass(slots=True, kw_only=True)
class StoreState:
    """State shared by the handlers.

    ``era`` rises by one each time the store comes back from a copy.
    """

    objects: StoreObjects = field(default_factory=StoreObjects)
    hosts: HostList = field(default_factory=HostList)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls_by_kind: Counter[str] = field(default_factory=Counter)
    write_limit: RateLimit
    read_limit: RateLimit
    watching: set['CallHandler'] = field(default_factory=set)
    era: int = 0
    copy: StoreCopy | None = None

    def take_copy(self) -> None:
        """Keep a copy of the objects and the host list, in place of an earlier one."""
        self.copy = StoreCopy(entry_by_name=self.objects.copy(), entry_by_host=self.hosts.copy())

    def restore(self) -> None:
        """Come back from the copy: watches end, and later writes are lost.

        :raises ValueError: if no copy was taken.
        """
        if self.copy is None:
            raise ValueError('no copy was taken')
        for watcher in list(self.watching):
            drop_connection(watcher)
        self.era += 1
        self.objects.restore(self.copy.entry_by_name)
        self.hosts.restore(self.copy.entry_by_host)


class CallHandler(RequestHandler):
    """Base handler: counts calls, enforces rate limits and injects faults."""

    state: StoreState

    def initialize(self, state: StoreState) -> None:
        self.state = state

    def finish(self, chunk: Any = None) -> 'asyncio.Future[None]':
        self.set_header(ERA_HEADER, str(self.state.era))
        return super().finish(chunk)

    async def begin(self, kind: str) -> None:
        """Count a call, inject faults and enforce the rate limits."""
        state = self.state
        if state.faults.down:
            state.calls_by_kind['dropped'] += 1
            self.drop()
        state.calls_by_kind[kind] += 1
        limit = state.write_limit if kind.startswith('write') else state.read_limit
        if not limit.try_acquire():
            state.calls_by_kind['limited'] += 1
            self.answer(429, {'error': 'rate exceeded'})
        if state.faults.delay_s:
            await asyncio.sleep(state.faults.delay_s)

    def drop(self) -> None:
        """Close the connection without a response."""
        drop_connection(self)
        raise Finish

    def answer(self, status: int, body: Any = None) -> None:
        """Finish with a JSON response."""
        self.set_status(status)
        if body is not None:
            self.set_header('Content-Type', 'application/json')
            self.write(json.dumps(body))
        raise Finish

    def answer_write(self, body: Any) -> None:
        """Respond to a write that took effect, unless its response is to be lost."""
        if self.state.faults.lose_answers > 0:
            self.state.faults.lose_answers -= 1
            self.state.calls_by_kind['lost'] += 1
            self.drop()
        if self.consume_garbling():
            self.finish(GARBLED_ANSWER)
            return
        self.answer(200, body)

    def consume_garbling(self) -> bool:
        """Return whether this response is to be garbled."""
        left = self.state.faults.garble_answers
        self.state.faults.garble_answers = max(0, left - 1)
        return left > 0

    def read_body(self) -> Any:
        """Return the JSON body, or respond with 413 or 400."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.answer(413, {'error': 'value too large'})
        try:
            return json.loads(self.request.body)
        except ValueError:
            self.answer(400, {'error': 'not JSON'})


class ObjectHandler(CallHandler):
    """``/objects/{name}``."""

    _waiting: asyncio.Task[bool] | None = None

    async def get(self, name: str) -> None:
        watched = self.get_query_argument('watch', None)
        await self.begin('read' if watched is None else 'watch')
        if watched is not None:
            await self._watch(name, int(watched), float(self.get_query_argument('wait_s', '30')))
        version, text = self.state.objects.read(name)
        if not version:
            self.answer(404, {'error': 'no such object'})
        if self.consume_garbling():
            self.finish(GARBLED_ANSWER)
            return
        self.set_header('Content-Type', 'application/json')
        head = json.dumps({'name': name, 'version': version})
        self.finish(head[:-1].encode() + b', "value": ' + text + b'}')

    async def put(self, name: str) -> None:
        await self.begin('write')
        if self.state.faults.down:
            self.drop()
        self.read_body()
        expected = self._expected_version()
        new_version = None
        if self._is_era_current(self.request.headers.get(ERA_HEADER)):
            new_version = self.state.objects.write(name, text=self.request.body, version=expected)
        if new_version is None:
            version, text = self.state.objects.read(name)
            self.state.calls_by_kind['conflict'] += 1
            self.answer(412, {'version': version, 'value': json.loads(text)})
        self.answer_write({'version': new_version})

    def on_connection_close(self) -> None:
        if self._waiting is not None:
            self._waiting.cancel()

    def on_finish(self) -> None:
        self.state.watching.discard(self)

    def _expected_version(self) -> int:
        if self.request.headers.get('If-None-Match') == '*':
            return 0
        expected = self.request.headers.get('If-Match', '').strip('"')
        if not expected.isdigit() or expected == '0':
            self.answer(400, {'error': 'If-Match or If-None-Match is missing'})
        return int(expected)

    def _is_era_current(self, era: str | None) -> bool:
        return era is None or era == str(self.state.era)

    async def _watch(self, name: str, version: int, wait_s: float) -> None:
        objects = self.state.objects
        is_known = self._is_era_current(self.get_query_argument('era', None))
        if not is_known or version > objects.read(name)[0]:
            self.answer(410, {'error': 'no such version'})
        self._waiting = asyncio.ensure_future(
            objects.wait_change(name, version=version, wait_s=wait_s)
        )
        self.state.watching.add(self)
        try:
            changed = await self._waiting
        except asyncio.CancelledError:
            raise Finish
        finally:
            self.state.watching.discard(self)
        if not changed:
            self.answer(304)


class ListHandler(CallHandler):
    """``/objects?prefix=``."""

    async def get(self) -> None:
        await self.begin('list')
        versions = self.state.objects.versions(prefix=self.get_query_argument('prefix', ''))
        listed = [{'name': name, 'version': version} for name, version in versions.items()]
        self.answer(200, {'objects': listed})


class HostsHandler(CallHandler):
    """``/hosts``."""

    async def get(self) -> None:
        await self.begin('hosts')
        snapshot = self.state.hosts.snapshot(lag_s=self.state.faults.list_lag_s)
        self.answer(200, {'hosts': snapshot})


class HostHandler(CallHandler):
    """``/hosts/{host}``; the platform uses DELETE to remove a lost host from the list."""

    async def put(self, host: str) -> None:
        await self.begin('write_host')
        entry = self.read_body()
        if not isinstance(entry, dict) or entry.get('state') not in {'live', 'leaving'}:
            self.answer(400, {'error': 'address and state live or leaving are expected'})
        self.state.hosts.put(host, {'address': entry.get('address'), 'state': entry['state']})
        self.answer_write({})

    def delete(self, host: str) -> None:
        self.state.hosts.put(host, None)
        self.answer(200, {})
