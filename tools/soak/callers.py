"""Callers that follow look-ups and reuse open connections until these are closed."""

import asyncio
import contextlib
import itertools
import json
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import ClassVar

from tools.soak.history import History, Sent
from tools.soak.http_head import get, read_head

NAME = 'soak.example'
_PATIENCE_S = 2.0
_PAUSE_S = 0.05
_LOOKUP_S = 0.7
_LOOKUP_TIMEOUT_S = 1.0
_OLD_KEYS = 0.1
_LARGE_BODY = b'x' * 3_000


@dataclass(slots=True, kw_only=True)
class Caller:
    """A caller with at most one request in flight and one connection.

    :param keeps_connection: whether it keeps its connection until the host closes it, even if
        look-ups no longer contain the host.
    :param lookup_addresses: returns the look-up addresses to try.
    :param host_of: returns the host that serves a caller address.
    :param customer: the customer that it belongs to, empty without customers.
    :param keys_of: returns the API keys that a customer has had, the present one last.
    """

    numbers: ClassVar[Iterator[int]] = itertools.count()

    history: History
    random_source: random.Random
    region: str
    keeps_connection: bool
    lookup_addresses: Callable[[], list[str]]
    host_of: Callable[[str], str]
    customer: str
    keys_of: Callable[[str], list[str]]
    _named: list[str] = field(default_factory=list)
    _named_until: float = 0.0
    _address: str = ''
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self._look_up()
                await self._send()
                await asyncio.sleep(self.random_source.expovariate(1 / _PAUSE_S))
        finally:
            self._disconnect()

    async def _look_up(self) -> None:
        loop = asyncio.get_running_loop()
        path = f'/balsamrail/resolve?name={NAME}&region={self.region}&zone='
        while loop.time() >= self._named_until:
            asked_at = loop.time()
            address = self.random_source.choice(self.lookup_addresses())
            with contextlib.suppress(OSError, TimeoutError, ValueError, EOFError):
                body = (await get(address, path, timeout_s=_LOOKUP_TIMEOUT_S))[1]
                self._named = json.loads(body)['addresses']
                if self._named:
                    self._named_until = asked_at + _LOOKUP_S
                    if self._address not in self._named and not self.keeps_connection:
                        self._disconnect()
                    return
            await asyncio.sleep(_PAUSE_S)

    async def _send(self) -> None:
        number, is_idempotent = next(self.numbers), self.random_source.random() < 0.6
        kind = 'read' if is_idempotent else 'book'
        sent = Sent(
            request_id=f'q{number}',
            host='',
            path=f'/{kind}/{number}',
            is_idempotent=is_idempotent,
            sent_at=asyncio.get_running_loop().time(),
            customer=self.customer,
        )
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            async with asyncio.timeout(_PATIENCE_S + 1):
                await self._connect()
                sent.host = self.host_of(self._address)
                sent.sent_at = asyncio.get_running_loop().time()
                sent.key = self._key()
                self.history.sent.append(sent)
                try:
                    await self._exchange(sent)
                except (ValueError, IndexError, asyncio.LimitOverrunError) as error:
                    sent.fault = f'answered with invalid HTTP: {error}'
        sent.ended_at = asyncio.get_running_loop().time()
        if sent.told == 'cut':
            self._disconnect()

    def _key(self) -> str:
        """Return the present key or, now and then, one that may have been withdrawn."""
        if not self.customer:
            return ''
        keys = self.keys_of(self.customer)
        is_old = self.random_source.random() < _OLD_KEYS
        return self.random_source.choice(keys) if is_old else keys[-1]

    async def _connect(self) -> None:
        if self._writer and not self._writer.is_closing() and not self._reader.at_eof():
            return
        self._disconnect()
        self._address = self.random_source.choice(self._named)
        number, port = self._address.split(':')
        self._reader, self._writer = await asyncio.open_connection(number, int(port))

    async def _exchange(self, sent: Sent) -> None:
        assert self._reader is not None and self._writer is not None
        method, body = ('GET', b'') if sent.is_idempotent else ('POST', _LARGE_BODY)
        lines = [
            f'{method} {sent.path} HTTP/1.1',
            f'Host: {NAME}',
            f'X-Request-Id: {sent.request_id}',
            f'X-Timeout-Ms: {int(_PATIENCE_S * 1_000)}',
            f'Cookie: X-Affinity-Key={self.random_source.randrange(40)}',
            f'Content-Length: {len(body)}',
        ]
        if sent.customer:
            # Callers may name any customer; only the key counts.
            lines += [f'Authorization: Bearer {sent.key}', 'X-Tenant: another']
        self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        head = await read_head(self._reader)
        answer = await self._reader.readexactly(head.length())
        sent.status = int(head.start[1])
        sent.told = _outcome_of(sent.status)
        expected = f'{sent.request_id} {sent.path} '.encode() + body
        signature = head.headers.get('x-response-signature', '')
        signed = f's-{sent.request_id}-'
        if signature.startswith(signed):
            sent.answered_by = signature.removeprefix(signed)
        if sent.told == 'done' and (answer != expected or not sent.answered_by):
            sent.fault = f'answered with {answer[:60]!r}, signature {signature}'
        if head.headers.get('connection', '').lower() == 'close':
            self._disconnect()

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self._address = ''


def _outcome_of(status: int) -> str:
    if 200 <= status < 300:
        return 'done'
    if status in {408, 421, 429, 503}:
        return 'refused'
    return 'denied' if 300 <= status < 500 else 'failed'
