"""What a look-up costs the host, against a bare tornado handler in the same process."""

import argparse
import asyncio
import io
import json
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from statistics import median
from types import SimpleNamespace
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from balsamrail.configuration import load_declaration
from balsamrail.environment import Environment
from balsamrail.host import CallerApplication
from balsamrail.logs import Log
from balsamrail.lookup import BlockMap, BlockSync, LookupHandler, LookupTable
from balsamrail.membership import Member
from balsamrail.settings import Settings, StoreSettings
from balsamrail.steering import Router
from benchmarks.figure import Figure

_REGIONS = 10
_HOSTS = 920
_BLOCKS = 3_500_000
_REQUESTS = 4_000
_ROUNDS = 9
_CLIENT_ADDRESSES = 64
_HIGHEST_RATIO = 1.5


class BareHandler(RequestHandler):
    def initialize(self, *, body: str) -> None:
        self._body = body

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(self._body)


def run() -> list[Figure]:
    """Measure the ratio of processor time and the parts of the look-up."""
    return asyncio.run(_measure())


async def _measure() -> list[Figure]:
    environment = _environment()
    members = _members()
    declaration = load_declaration(json.dumps(_declaration()))
    tracker: Any = SimpleNamespace(
        accepted=lambda: declaration,
        for_caller=lambda caller: (7, declaration),
        subscribe=lambda changed: None,
    )
    network: Any = SimpleNamespace(
        subscribe=lambda kind, receive: None, flood=lambda *message, **options: None
    )
    view: Any = _Members(members)
    router = Router(
        environment=environment,
        tracker=tracker,
        members=view,
        network=network,
        store=SimpleNamespace(),  # type: ignore[arg-type]
    )
    router.step()
    blocks = BlockSync(environment=environment, store=SimpleNamespace())  # type: ignore[arg-type]
    pairs = ((block * 4, block % 250) for block in range(_BLOCKS))
    blocks._block_map = BlockMap.from_pairs(pairs)
    blocks._regions = [f'region-{site % _REGIONS}' for site in range(250)]
    table = LookupTable(
        environment=environment, tracker=tracker, members=view, router=router, blocks=blocks
    )
    sample = table.answer(service='diary', caller='127.0.0.1')
    options = {'environment': environment, 'table': table}
    lookups = CallerApplication(
        rules=[('/lookup/([^/]+)', LookupHandler, options)], ready=lambda: True
    )
    bare = Application([('/bare', BareHandler, {'body': sample})], log_function=lambda _: None)
    costs: dict[str, list[float]] = {'/bare': [], '/lookup/diary': []}
    for _ in range(_ROUNDS):
        costs['/bare'].append(await _cost_s(bare, '/bare'))
        costs['/lookup/diary'].append(await _cost_s(lookups, '/lookup/diary'))
    ratios = [mine / base for mine, base in zip(*reversed(costs.values()), strict=True)]
    return [
        Figure(name='lookup_bare_us', value=1e6 * median(costs['/bare']), unit='us'),
        Figure(name='lookup_us', value=1e6 * median(costs['/lookup/diary']), unit='us'),
        Figure(name='lookup_ratio', value=median(ratios), unit='x', bound=_HIGHEST_RATIO),
        Figure(name='lookup_block_map_mb', value=blocks._block_map.size_bytes() / 1e6, unit='MB'),
    ]


async def _cost_s(application: Application, path: str) -> float:
    """Return the processor time of this process for one request."""
    (listening,) = bind_sockets(0, '127.0.0.1')
    server = HTTPServer(application)
    server.add_sockets([listening])
    port = listening.getsockname()[1]
    command = [sys.executable, '-m', 'benchmarks.lookup', '--port', str(port), '--path', path]
    client = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
    assert client.stdout is not None
    await client.stdout.readline()
    started = time.process_time()
    assert await client.stdout.readline() == b'done\n'
    cost = (time.process_time() - started) / _REQUESTS
    await client.wait()
    server.stop()
    await server.close_all_connections()
    return cost


def _send_requests(port: int, path: str) -> None:
    """Send look-ups from many loopback addresses, as the client process."""
    connections = []
    for number in range(_CLIENT_ADDRESSES):
        # Different /24 blocks, so that callers fall into different groups.
        source = (f'127.1.{number}.1', 0)
        connections.append(socket.create_connection(('127.0.0.1', port), source_address=source))
    request = f'GET {path} HTTP/1.1\r\nHost: benchmark\r\n\r\n'.encode()
    _exchange(connections, request, rounds=2)
    print('ready', flush=True)
    _exchange(connections, request, rounds=_REQUESTS // _CLIENT_ADDRESSES)
    print('done', flush=True)


def _exchange(connections: list[socket.socket], request: bytes, *, rounds: int) -> None:
    for _ in range(rounds):
        for connection in connections:
            connection.sendall(request)
        for connection in connections:
            received = connection.recv(65_536)
            assert received.startswith(b'HTTP/1.1 200'), received
            while not received.endswith(b'}'):
                received += connection.recv(65_536)


class _Members:
    def __init__(self, members: list[Member]) -> None:
        self._members = members
        self._member_by_host = {member.host: member for member in members}

    def alive(self) -> list[Member]:
        return list(self._members)

    def nameable(self) -> list[Member]:
        return list(self._members)

    def get(self, host: str) -> Member | None:
        return self._member_by_host.get(host)

    def own(self) -> Member:
        return self._members[0]

    def proved_gone(self, holder: str) -> bool:
        return False

    def listed_leaving(self, address: str) -> bool:
        return False


def _members() -> list[Member]:
    return [
        Member(
            host=f'host-{number}',
            incarnation=f'{number:020x}',
            refutation=0,
            state='alive',
            peer_address=f'10.1.{number // 200}.{1 + number % 200}:7002',
            caller_address=f'10.1.{number // 200}.{1 + number % 200}:7001',
            region=f'region-{number % _REGIONS}',
            availability_zone=f'region-{number % _REGIONS}-{"abc"[number // _REGIONS % 3]}',
        )
        for number in range(_HOSTS)
    ]


def _declaration() -> dict[str, Any]:
    names = [f'region-{number}' for number in range(_REGIONS)]
    return {
        'deployment': 'benchmark',
        'regions': {
            name: {'availability_zones': [f'{name}-{zone}' for zone in 'abc']} for name in names
        },
        'services': {'diary': {'targets': list(_targets(names))}},
    }


def _targets(names: list[str]) -> Iterator[dict[str, Any]]:
    for number, name in enumerate(names):
        for zone in 'abc':
            address = f'10.2.{number}.{ord(zone)}:8000'
            yield {'address': address, 'availability_zone': f'{name}-{zone}', 'slots': 4}


def _environment() -> Environment:
    settings = Settings(
        deployment='benchmark',
        host='host-0',
        region='region-0',
        availability_zone='region-0-a',
        caller_address='10.1.0.1:7001',  # type: ignore[arg-type]
        peer_address='10.1.0.1:7002',  # type: ignore[arg-type]
        operator_address='10.1.0.1:7003',  # type: ignore[arg-type]
        store=StoreSettings(address='127.0.0.1:7000'),  # type: ignore[arg-type]
    )
    return Environment.create(settings=settings, log=Log(host='host-0', output=io.StringIO()))


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int)
    parser.add_argument('--path')
    arguments = parser.parse_args()
    if arguments.port:
        _send_requests(arguments.port, arguments.path)
    else:
        for figure in run():
            print(figure.line())
