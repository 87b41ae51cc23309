"""A forwarder behind an HTTP listener, with raw callers."""

import asyncio
from contextlib import asynccontextmanager
from email.parser import Parser

from forwarding_parts import (
    Members,
    PeerNetwork,
    RawUpstream,
    Router,
    Tracker,
    make_declaration,
    make_environment,
    whole,
)
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from balsamrail.forwarding import (
    Forwarder,
    ForwardHandler,
    UnknownPathHandler,
    http_server_options,
)


class HttpHost:
    """A forwarder behind an HTTP listener."""

    def __init__(self, addresses, *, members=None, host='attiki-1', memory_mb=300, **fields):
        self.environment = make_environment(host=host, body_timeout_s=0.3, memory_mb=memory_mb)
        self.forwarder = Forwarder(
            environment=self.environment,
            tracker=Tracker(make_declaration(addresses, **fields)),
            router=Router(),
            network=PeerNetwork(),
            members=Members() if members is None else members,
        )
        self.collaborators = {'forwarder': self.forwarder, 'environment': self.environment}
        application = Application(
            [(ForwardHandler.pattern, ForwardHandler, self.collaborators)],
            default_handler_class=UnknownPathHandler,
        )
        self.server = HTTPServer(
            application, **http_server_options(self.environment.settings.limits)
        )
        sockets = bind_sockets(0, '127.0.0.1')
        self.server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    def stop(self):
        self.server.stop()
        self.forwarder._pool.close()


async def ask(port, text, *, body=b'', timeout_s=3):
    """Send a raw request and return status, headers and body of the response."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(text.replace('\n', '\r\n').encode())
    writer.write(body)
    try:
        async with asyncio.timeout(timeout_s):
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            start, _, lines = head.partition('\r\n')
            headers = Parser().parsestr(lines)
            status = int(start.split()[1])
            length = int(headers.get('Content-Length', 0))
            if text.startswith('HEAD') or status in {204, 304}:
                length = 0
            return status, headers, await reader.readexactly(length)
    finally:
        writer.close()


async def upstream_answer(upstream, head, writer):
    method, path = head.split()[:2]
    match path:
        case '/slow':
            await asyncio.sleep(0.3)
            writer.write(whole())
        case '/204' | '/304':
            writer.write(f'HTTP/1.1 {path[1:]} X\r\n\r\n'.encode())
        case '/echo':
            writer.write(whole(upstream.bodies[-1]))
        case _:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n')
            if method == 'GET':
                writer.write(b'GET /')


async def start_upstream():
    upstream = RawUpstream(lambda *_: upstream_answer(upstream, upstream.heads[-1], _[-1]))
    return await upstream.start()


@asynccontextmanager
async def serving(upstreams, **fields):
    """Yield a host in front of running upstreams, and stop all of them on exit."""
    host = HttpHost([upstream.address for upstream in upstreams], **fields)
    try:
        yield host
    finally:
        host.stop()
        for upstream in upstreams:
            upstream.stop()


def run_with_host(script):
    async def main():
        upstream = await start_upstream()
        async with serving([upstream], deadline_ms=2_000) as host:
            return await script(host, upstream)

    return asyncio.run(main())
