"""An in-process stand-in for the platform's metadata store that implements its published protocol.

Supports objects by kind and name, watches and conditional writes. It can simulate outages, refused
calls, lost responses, compaction of the event history and a return from an older copy.
"""

import asyncio
import copy
import json
import time
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from standins.serving import drop_connection, listen

_ERA_HEADER = 'Store-Era'
_PAGE_SIZE = 500
_MAX_BODY_BYTES = 2_097_152
# Exceeds the timeouts of all clients.
_SILENCE_S = 60


class PlatformStore:
    """Serves the object API; ``mode`` is ``up``, ``busy``, ``reset`` or ``silent``."""

    def __init__(self, *, address: str = '127.0.0.1:0') -> None:
        self._listen_address = address
        self.address = ''
        self.era = 1
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: dict[str, list[dict[str, Any]]] = {}
        self.compacted_revision = 0
        self.mode = 'up'
        self.losing = False
        self.calls: list[tuple[str, str]] = []
        self._changed = asyncio.Event()
        self._server: HTTPServer | None = None

    async def start(self) -> None:
        """Start listening."""
        handlers: list[Any] = [
            (r'/balsamrail/objects/([^/]+)', _KindHandler, {'store': self}),
            (r'/balsamrail/objects/([^/]+)/([^/]+)', _ObjectHandler, {'store': self}),
        ]
        self._server, self.address = listen(
            Application(handlers, log_function=lambda handler: None),
            address=self._listen_address,
            kind=HTTPServer,
            max_body_size=_MAX_BODY_BYTES,
        )

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object on behalf of the operator or a target."""
        self.revision += 1
        metadata = {'name': name, 'revision': self.revision, 'created': time.time()}
        stored = {'metadata': metadata, 'spec': spec}
        self.objects.setdefault(kind, {})[name] = stored
        self._publish(kind, {'object': stored, 'tombstone': False})
        return stored

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an existing object."""
        stored = self.objects[kind].pop(name)
        self.revision += 1
        gone = {**stored, 'metadata': {**stored['metadata'], 'revision': self.revision}}
        self._publish(kind, {'object': gone, 'tombstone': True})
        return gone

    def forget(self) -> None:
        """Discard the event history, so that watches from earlier revisions fail with 410."""
        self.events.clear()
        self.compacted_revision = self.revision

    def copy_contents(self) -> dict[str, Any]:
        """Return a copy of the objects, the history and the revision for :meth:`restore`."""
        contents = {'revision': self.revision, 'objects': self.objects, 'events': self.events}
        return copy.deepcopy(contents)

    def restore(self, contents: dict[str, Any]) -> None:
        """Come back from an older copy: what was written since is lost, and the era rises."""
        contents = copy.deepcopy(contents)
        self.era += 1
        self.revision = contents['revision']
        self.objects = contents['objects']
        self.events = contents['events']
        self._wake_watches()

    def has_history_since(self, revision: int) -> bool:
        """Return whether a watch can continue from a revision."""
        return self.compacted_revision <= revision <= self.revision

    def events_after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        """Return the events of a kind with a revision above ``revision``."""
        return [
            event
            for event in self.events.get(kind, ())
            if event['object']['metadata']['revision'] > revision
        ]

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait up to ``wait_s`` seconds for a change of any object."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _publish(self, kind: str, event: dict[str, Any]) -> None:
        self.events.setdefault(kind, []).append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class _StoreHandler(RequestHandler):
    def initialize(self, *, store: PlatformStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls.append((self.request.method or '', self.request.uri or ''))
        match self.store.mode:
            case 'busy':
                self.set_status(503)
                self.finish()
            case 'reset':
                drop_connection(self)
                self.finish()
            case 'silent':
                await asyncio.sleep(_SILENCE_S)
                self.finish()

    def finish(self, chunk: Any = None) -> asyncio.Future[None]:
        self.set_header(_ERA_HEADER, str(self.store.era))
        return super().finish(chunk)

    def answer(self, status: int, body: Any) -> None:
        if self.store.losing and self.request.method != 'GET':
            drop_connection(self)
            return
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps({**body, 'storeRevision': self.store.revision}))

    def check_revision(self, name: str, known: dict[str, Any] | None, revision: Any) -> bool:
        """Return whether the revision of a conditional write matches; respond with 409 if not."""
        if revision is None or (known and known['metadata']['revision'] == int(revision)):
            return True
        self.answer(409, known or {})
        return False


class _KindHandler(_StoreHandler):
    async def get(self, kind: str) -> None:
        watched_revision = self.get_query_argument('watch', '')
        if watched_revision:
            await self._watch(kind, int(watched_revision))
            return
        after = self.get_query_argument('after', '')
        found = sorted(self.store.objects.get(kind, {}).items())
        page = [stored for name, stored in found if name > after]
        self.answer(200, {'items': page[:_PAGE_SIZE], 'hasMore': len(page) > _PAGE_SIZE})

    async def post(self, kind: str) -> None:
        body = json.loads(self.request.body)
        name = body['metadata']['name']
        known = self.store.objects.get(kind, {}).get(name)
        if known is not None:
            self.answer(409, known)
            return
        self.answer(201, self.store.put(kind, name, body.get('spec')))

    async def _watch(self, kind: str, revision: int) -> None:
        wait_until = time.monotonic() + int(self.get_query_argument('waitMs', '0')) / 1_000
        while self.store.has_history_since(revision) and not self.store.events_after(
            kind, revision
        ):
            left_s = wait_until - time.monotonic()
            if left_s <= 0:
                break
            await self.store.wait_for_change(left_s)
        if self.store.mode == 'silent':
            await asyncio.sleep(_SILENCE_S)
        if self.store.has_history_since(revision):
            self.answer(200, {'events': self.store.events_after(kind, revision)})
        else:
            self.answer(410, {})


class _ObjectHandler(_StoreHandler):
    async def get(self, kind: str, name: str) -> None:
        known = self.store.objects.get(kind, {}).get(name)
        self.answer(404 if known is None else 200, known or {})

    async def put(self, kind: str, name: str) -> None:
        body = json.loads(self.request.body)
        known = self.store.objects.get(kind, {}).get(name)
        if not self.check_revision(name, known, body['metadata'].get('revision')):
            return
        if known is not None and known['spec'] == body.get('spec'):
            self.answer(200, known)
            return
        self.answer(200, self.store.put(kind, name, body.get('spec')))

    async def delete(self, kind: str, name: str) -> None:
        known = self.store.objects.get(kind, {}).get(name)
        if known is None:
            self.answer(404, {})
        elif self.check_revision(name, known, self.get_query_argument('revision', None)):
            self.answer(200, self.store.remove(kind, name))
