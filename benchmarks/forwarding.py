"""Processor time of forwarding, compared with a minimal Tornado proxy.

Callers, the upstream and the measured proxy share one process. The cost of callers that connect
directly to the upstream is measured as well and subtracted from both.
"""

import asyncio
import io
import statistics
import sys
import time

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from balsamrail import Declaration, Environment, Settings
from balsamrail.configuration import Region, Route, Service, Target
from balsamrail.forwarding import Forwarder, ForwardHandler
from balsamrail.logs import Log
from balsamrail.settings import StoreSettings
from benchmarks.figure import Figure
from benchmarks.report import report

_ROUNDS = 7
_CALLERS = 8
_REQUESTS_PER_CALLER = 60
_BOUND = 1.25
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1024\r\nContent-Type: text/plain\r\n\r\n' + bytes(
    1024
)
_US_IN_S = 1_000_000


class BareHandler(RequestHandler):
    """A minimal proxy handler that uses Tornado's HTTP client."""

    def initialize(self, *, upstream):
        self.upstream = upstream

    async def get(self, path):
        answer = await AsyncHTTPClient().fetch(f'http://{self.upstream}{path}')
        self.set_status(answer.code)
        self.write(answer.body)


class SingleTargetRouter:
    """A stub router, tracker, network and members with one target and no admission control."""

    def __init__(self, address):
        self.target = Target(address=address, availability_zone='a', slots=64)
        self.declaration = Declaration(
            deployment='bench',
            regions={'r': Region(availability_zones=['a'])},
            services={
                'diary': Service(
                    targets=[self.target],
                    routes=[Route(methods=['GET'], idempotent=True)],
                )
            },
        )

    def for_caller(self, caller):
        return 1, self.declaration

    async def admit_with_borrowing(self, **choice):
        return self

    def close(self, result, *, latency_s=0):
        """Do nothing; no admission is held."""

    def subscribe(self, kind, receive):
        """Do nothing; no messages are received."""

    def get(self, host):
        return None


async def serve_upstream(reader, writer):
    try:
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_ANSWER)
    except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def listen(handler, **fields):
    server = HTTPServer(Application([(fields.pop('pattern'), handler, fields)]))
    sockets = bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


def make_forward_port(upstream):
    settings = Settings(
        deployment='bench',
        host='bench-1',
        region='r',
        availability_zone='a',
        caller_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        operator_address='127.0.0.1:3',
        store=StoreSettings(address='127.0.0.1:4'),
    )
    environment = Environment.create(settings=settings, log=Log(host='b', output=io.StringIO()))
    part = SingleTargetRouter(upstream)
    forwarder = Forwarder(
        environment=environment, tracker=part, router=part, network=part, members=part
    )
    return listen(
        ForwardHandler,
        pattern=ForwardHandler.pattern,
        forwarder=forwarder,
        environment=environment,
    )


async def call(port):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for _ in range(_REQUESTS_PER_CALLER):
        writer.write(b'GET /services/diary/today HTTP/1.1\r\nHost: bench\r\n\r\n')
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200'), head
        assert await reader.readexactly(1024) == bytes(1024)
    writer.close()


async def processor_us(port):
    """Return the processor time per request in microseconds."""
    started = time.process_time()
    await asyncio.gather(*(call(port) for _ in range(_CALLERS)))
    used_s = time.process_time() - started
    return used_s * _US_IN_S / (_CALLERS * _REQUESTS_PER_CALLER)


async def measure():
    server = await asyncio.start_server(serve_upstream, '127.0.0.1', 0)
    direct = server.sockets[0].getsockname()[1]
    upstream = f'127.0.0.1:{direct}'
    bare = listen(BareHandler, pattern='/services/diary(/.*)', upstream=upstream)
    forward = make_forward_port(upstream)
    costs = []
    for _ in range(_ROUNDS):
        costs.append([await processor_us(port) for port in (direct, bare, forward)])
    server.close()
    # The first round warms up.
    return costs[1:]


def run() -> list[Figure]:
    """Return the forwarding costs; only the ratio has a bound."""
    costs = asyncio.run(measure())
    bare = statistics.median(bare - direct for direct, bare, _ in costs)
    forward = statistics.median(forward - direct for direct, _, forward in costs)
    return [
        Figure(name='forwarding.bare_us', value=bare, unit='us/request'),
        Figure(name='forwarding.processor_us', value=forward, unit='us/request'),
        Figure(name='forwarding.ratio', value=forward / bare, unit='times', bound=_BOUND),
    ]


if __name__ == '__main__':
    sys.exit(report(run()))
