"""A target that registers in the store and records what it runs."""

import asyncio
import contextlib
import random
from typing import Any

from standins.platform_store import PlatformStore
from tools.soak.fault_proxy import FaultProxy
from tools.soak.history import History, Run
from tools.soak.http_head import Head, read_head

_SLOTS = 4
_QUEUE = 12
_KIND = 'servers'


class SoakTarget:
    """One start of a target behind a proxy of its own."""

    def __init__(
        self,
        *,
        target_id: str,
        service: str,
        zone: str,
        store: PlatformStore,
        history: History,
        random_source: random.Random,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.work_s = 0.03
        self.losing = 0.0
        self.garbling = 0.0
        self._last_answer = b''
        self.proxy = FaultProxy(target='127.0.0.1:1')
        self._born = 1
        self._store = store
        self._history = history
        self._random = random_source
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._running = 0
        self._slots = asyncio.Semaphore(_SLOTS)
        history.zone_by_target[target_id] = zone

    async def start(self) -> None:
        """Listen and register."""
        await self.proxy.start()
        await self.resume()

    async def resume(self) -> None:
        """Listen again, as a new start under the same id."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.proxy.target = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'
        self.proxy.is_refusing = False
        self._born += 1
        self.register('ready')

    def register(self, state: str) -> None:
        """Write the target's entry."""
        if state == 'ready':
            self._history.leaving.pop(self.target_id, None)
        else:
            self._note_leaving()
        self._store.put(_KIND, self.target_id, self._entry(state))

    def unregister(self) -> None:
        """Remove the target's entry."""
        if self.target_id in self._store.objects.get(_KIND, {}):
            self._note_leaving()
            self._store.remove(_KIND, self.target_id)

    def crash(self) -> None:
        """End without a word; the entry is left to lapse."""
        self.proxy.is_refusing = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Close everything."""
        self.crash()
        self.proxy.stop()

    def _note_leaving(self) -> None:
        now = asyncio.get_running_loop().time()
        self._history.leaving.setdefault(self.target_id, now)

    def _entry(self, state: str) -> dict[str, Any]:
        return {
            'service': self.service,
            'address': self.proxy.address,
            'zone': self.zone,
            'version': '1',
            'slots': _SLOTS,
            'state': state,
            'warmupLeftS': 0,
            'born': self._born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    head = await read_head(reader)
                    body = await reader.readexactly(head.length())
                    if not await self._answer(head, body, writer):
                        return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> bool:
        """Run a request; return whether the connection goes on."""
        request_id = head.headers.get('x-request-id', '')
        path = head.start[1]
        if path.startswith('/health'):
            writer.write(_message(200, b'ok', {'X-Instance-Id': self.target_id}))
            return True
        if head.headers.get('x-target-instance') != self.target_id:
            writer.write(_message(421, b'', {'X-Not-Executed': '1'}))
            return True
        if self._running >= _SLOTS + _QUEUE:
            writer.write(_message(503, b'', {'X-Not-Executed': '1', 'X-Request-Id': request_id}))
            return True
        self._history.runs.append(
            Run(
                request_id=request_id,
                target_id=self.target_id,
                service=self.service,
                path=path,
                arrived_at=asyncio.get_running_loop().time(),
            )
        )
        self._running += 1
        try:
            async with self._slots:
                await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        if self._random.random() < self.losing:
            writer.transport.abort()
            return False
        answer = f'{request_id} {path} '.encode() + body
        headers = {'X-Request-Id': request_id, 'X-Response-Signature': f's-{request_id}'}
        headers['X-Server-Load'] = f'{min(self._running, _SLOTS)},0,{_SLOTS}'
        whole = _message(200, answer, headers)
        if self._random.random() < self.garbling:
            # An answer of another request comes first, or this one twice.
            writer.write(self._random.choice((self._last_answer, whole)))
        self._last_answer = whole
        writer.write(whole)
        await writer.drain()
        return True


def _message(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n'
    return head.encode() + body
