"""A target that registers in the store and records the requests that it executes."""

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from typing import Any

from standins.platform_store import PlatformStore
from tools.soak.arrival import Arrival
from tools.soak.endless_bytes import draw_endless
from tools.soak.fault_proxy import FaultProxy, reset_on_close
from tools.soak.history import History
from tools.soak.http_head import Head, message, read_head

_SLOTS = 4
_QUEUE = 12
_KIND = 'servers'


@dataclass(slots=True, kw_only=True, eq=False)
class SoakTarget:
    """A target behind a fault proxy.

    :param endless: fraction of its responses that never end.
    :param odd_retry_after: an invalid ``Retry-After`` value to send.
    """

    target_id: str
    service: str
    zone: str
    store: PlatformStore
    history: History
    random_source: random.Random
    proxy: FaultProxy = field(default_factory=lambda: FaultProxy(target='127.0.0.1:1'))
    start_name: str = ''
    work_s: float = 0.03
    losing: float = 0.0
    garbling: float = 0.0
    endless: float = 0.0
    is_leaving: bool = False
    refusing_until: float = 0.0
    odd_retry_after: str = ''
    _last_answer: bytes = b''
    _born: int = 1
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _running: int = 0
    _slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(_SLOTS))

    async def start(self) -> None:
        """Start listening and register in the store."""
        self.history.zone_by_target[self.target_id] = self.zone
        await self.proxy.start()
        await self.resume()

    async def resume(self) -> None:
        """Start listening and register as a new start with the same id."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.proxy.target = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'
        self.proxy.is_refusing = False
        self._born += 1
        self.start_name = f'{self.target_id}/{self._born}'
        self.is_leaving = False
        self.refusing_until = 0.0
        self.register('ready')

    def register(self, state: str) -> None:
        """Write the target entry to the store."""
        if state == 'ready':
            self.history.leaving.pop(self.target_id, None)
        else:
            self._record_leaving()
        self.store.put(_KIND, self.target_id, self._entry(state))

    def rewrite_entry(self) -> None:
        """Rewrite the target entry without changes, if it exists."""
        stored = self.store.objects.get(_KIND, {}).get(self.target_id)
        if stored is not None:
            self.store.put(_KIND, self.target_id, stored['spec'])

    def unregister(self) -> None:
        """Remove the target entry from the store."""
        if self.target_id in self.store.objects.get(_KIND, {}):
            self._record_leaving()
            self.store.remove(_KIND, self.target_id)

    def crash(self) -> None:
        """Stop without notice and reset all connections; the entry stays in the store."""
        self.proxy.is_refusing = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset_on_close(writer)
            writer.transport.abort()

    def stop(self) -> None:
        """Close the target and its proxy."""
        self.crash()
        self.proxy.stop()

    def _record_leaving(self) -> None:
        now = asyncio.get_running_loop().time()
        self.history.leaving.setdefault(self.target_id, now)

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
        if head.start[1].startswith('/health'):
            return await self._answer_health(writer)
        if head.headers.get('x-target-instance') != self.target_id:
            writer.write(message(421, b'', {'X-Not-Executed': '1', **self._leaving_headers()}))
            return True
        now = asyncio.get_running_loop().time()
        arrival = Arrival(
            request_id=head.headers.get('x-request-id', ''),
            start=self.start_name,
            service=self.service,
            path=head.start[1],
            arrived_at=now,
            customer=head.headers.get('x-tenant', ''),
            has_key='authorization' in head.headers,
        )
        self.history.arrivals.append(arrival)
        if self.refusing_until > now or self._running >= _SLOTS + _QUEUE:
            self._refuse(arrival, writer)
            return True
        arrival.has_run = True
        self._running += 1
        try:
            async with self._slots:
                await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        if self.random_source.random() < self.losing:
            writer.transport.abort()
            return False
        answer = f'{arrival.request_id} {arrival.path} '.encode() + body
        headers = self._headers_of(arrival)
        if self.random_source.random() < self.endless:
            await self._send_endless(arrival.request_id, answer, headers, writer)
            return False
        whole = message(200, answer, headers)
        if self.random_source.random() < self.garbling:
            # Send the previous response first, or this one twice.
            writer.write(self.random_source.choice((self._last_answer, whole)))
        self._last_answer = whole
        writer.write(whole)
        await writer.drain()
        return True

    def _leaving_headers(self) -> dict[str, str]:
        return {'Server-Leaving': '1'} if self.is_leaving else {}

    def _headers_of(self, arrival: Arrival) -> dict[str, str]:
        arrival.is_leaving = self.is_leaving
        return {
            'X-Request-Id': arrival.request_id,
            'X-Response-Signature': f's-{arrival.request_id}-{arrival.start}',
            'X-Server-Load': f'{min(self._running, _SLOTS)},0,{_SLOTS}',
            **self._leaving_headers(),
        }

    def _refuse(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        arrival.answered_at = asyncio.get_running_loop().time()
        headers = {
            'X-Not-Executed': '1',
            'X-Request-Id': arrival.request_id,
            **self._leaving_headers(),
        }
        left_s = self.refusing_until - arrival.answered_at
        if left_s > 0:
            headers['Retry-After'] = self.odd_retry_after or f'{left_s:.3f}'
            if not self.odd_retry_after and not self.proxy.loses(writer):
                arrival.refused_for_s = left_s
        writer.write(message(503, b'', headers))

    async def _answer_health(self, writer: asyncio.StreamWriter) -> bool:
        headers = {'X-Instance-Id': self.target_id, **self._leaving_headers()}
        if self.random_source.random() < self.endless:
            await self._send_endless('', b'ok', headers, writer)
            return False
        left_s = self.refusing_until - asyncio.get_running_loop().time()
        if left_s > 0:
            headers |= {'X-Not-Executed': '1', 'Retry-After': f'{left_s:.3f}'}
        writer.write(message(503 if left_s > 0 or self.is_leaving else 200, b'ok', headers))
        return True

    async def _send_endless(
        self, request_id: str, answer: bytes, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        endless = draw_endless(
            random_source=self.random_source,
            request_id=request_id,
            start=self.start_name,
            body=answer,
            headers=headers,
        )
        self.history.streams.append(endless)
        try:
            await endless.send(writer)
        finally:
            endless.is_lost = self.proxy.loses(writer)
