"""A bounded open-loop load generator that retries and records the outcomes.

``python -m tools.caller --fleet FILE --seconds 10 --rate 80 --seed 1 --out calls.jsonl``, where FILE
lists the caller addresses of the hosts. Each output line describes one send.
"""

import argparse
import asyncio
import json
import random
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

MAX_SECONDS = 120
MAX_RATE = 400
MAX_SENDS = 4
# A paused host blocks each send for TIMEOUT_S. With 1,000 connections at 480 sends per second, the
# remaining sends timed out in the queue of the client.
MAX_CONNECTIONS = 5_000
TIMEOUT_S = 4
PAUSE_S = 0.25
LOOKUP_S = 1
# A host listens before it can answer look-ups, so look-ups need a short timeout of their own.
LOOKUP_TIMEOUT_S = 1
PROBLEM = 'application/problem+json'


@dataclass(slots=True, kw_only=True)
class Send:
    """One send of a request.

    ``key`` is the idempotency key of a booking or the path of a read. ``told`` is done, not_run,
    unknown, refused, or gone if no response arrived.
    """

    key: str
    address: str
    called: float
    returned: float = 0
    told: str = 'gone'
    code: str = ''
    body: str = ''


class Caller:
    """Looks up hosts and sends bookings and reads at a fixed rate, independent of the responses.

    A look-up is not used beyond its time to live. Requests wait for a newer one, because a host
    may stop once all look-ups that contain it have expired.
    """

    def __init__(self, *, addresses: list[str], options: argparse.Namespace) -> None:
        self.addresses = addresses
        self.options = options
        self.random = random.Random(options.seed)
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)
        self.sends: list[Send] = []
        self.hosts: list[dict[str, str]] = []
        self.hosts_until = 0.0
        self.named = asyncio.Event()

    async def run(self) -> None:
        looking = asyncio.create_task(self.refresh_lookups())
        await self.named.wait()
        loop = asyncio.get_running_loop()
        started = loop.time()
        tasks = []
        for number in range(int(self.options.seconds * self.options.rate)):
            await asyncio.sleep(started + number / self.options.rate - loop.time())
            is_read = self.random.random() < self.options.reads
            act = self.read if is_read else self.book
            tasks.append(asyncio.create_task(act(number)))
        await asyncio.gather(*tasks)
        looking.cancel()

    async def refresh_lookups(self) -> None:
        while True:
            address = self.random.choice(self.addresses)
            asked_at = asyncio.get_running_loop().time()
            status, _, body = await self.fetch(
                address, f'/lookup/{self.options.service}', timeout_s=LOOKUP_TIMEOUT_S
            )
            if status == 200:
                self.apply_lookup(json.loads(body), asked_at)
                await asyncio.sleep(LOOKUP_S)
            await asyncio.sleep(0.05)

    def apply_lookup(self, answer: dict[str, Any], asked_at: float) -> None:
        self.hosts = answer['hosts']
        self.hosts_until = asked_at + answer['ttl_s']
        self.named.set()

    async def named_hosts(self) -> list[dict[str, str]]:
        while asyncio.get_running_loop().time() >= self.hosts_until:
            self.named.clear()
            await self.named.wait()
        return self.hosts

    async def book(self, number: int) -> None:
        first = self.random.choice(await self.named_hosts())
        use_own_key = self.random.random() < self.options.own_keys
        caller_part = f'{self.options.seed}-{number}'
        key = f'own-{caller_part}' if use_own_key else f'{first["key_prefix"]}.{caller_part}'
        body = json.dumps({'number': number})
        for address in self.addresses_to_try(first['address']):
            send = Send(key=key, address=address, called=asyncio.get_running_loop().time())
            self.sends.append(send)
            await self.post(send, body)
            if send.told in {'done', 'refused'}:
                return
            await asyncio.sleep(self.random.uniform(0, 2 * self.options.pause))

    async def read(self, number: int) -> None:
        address = self.random.choice(await self.named_hosts())['address']
        path = f'{self.options.path}?read={self.options.seed}-{number}'
        send = Send(key=path, address=address, called=asyncio.get_running_loop().time())
        self.sends.append(send)
        await self.exchange(send, path)

    def addresses_to_try(self, first: str) -> Iterator[str]:
        yield first
        for _ in range(self.options.sends - 1):
            yield self.random.choice(self.addresses)

    async def post(self, send: Send, body: str) -> None:
        headers = {'Idempotency-Key': send.key}
        await self.exchange(send, self.options.path, method='POST', body=body, headers=headers)

    async def exchange(self, send: Send, path: str, **options: Any) -> None:
        service_path = f'/services/{self.options.service}{path}'
        status, kind, answer = await self.fetch(send.address, service_path, **options)
        send.returned = asyncio.get_running_loop().time()
        if status == 200:
            send.told, send.body = 'done', answer.decode()
        elif status and kind.startswith(PROBLEM):
            problem = json.loads(answer)
            send.told, send.code = problem['outcome'], problem['code']
        elif status:
            send.told, send.code = 'unknown', str(status)

    async def fetch(
        self, address: str, path: str, *, timeout_s: float = TIMEOUT_S, **options: Any
    ) -> tuple[int, str, bytes]:
        """Return status, media type and body, or status 0 if no complete response arrived."""
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.client.fetch(
                    f'http://{address}{path}', raise_error=False, **options
                )
        except (OSError, TimeoutError, HTTPClientError):
            return 0, '', b''
        return response.code, response.headers.get('Content-Type', ''), response.body or b''


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--fleet', type=Path, required=True)
    parser.add_argument('--out', type=Path, required=True)
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--rate', type=float, default=80, help='new requests per second')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--service', default='bookings')
    parser.add_argument('--path', default='/bookings')
    parser.add_argument('--own-keys', type=float, default=0.2, help='fraction with own keys')
    parser.add_argument('--reads', type=float, default=0.2, help='fraction of reads, sent once')
    parser.add_argument('--sends', type=int, default=MAX_SENDS, help='maximum sends per key')
    parser.add_argument('--pause', type=float, default=PAUSE_S, help='mean pause before a retry')
    options = parser.parse_args()
    if options.seconds > MAX_SECONDS or options.rate > MAX_RATE:
        parser.error(f'at most {MAX_SECONDS} s and {MAX_RATE} a second')
    caller = Caller(addresses=json.loads(options.fleet.read_text()), options=options)
    asyncio.run(caller.run())
    lines = [json.dumps(asdict(send)) for send in caller.sends]
    options.out.write_text('\n'.join(lines) + '\n')


if __name__ == '__main__':
    main()
