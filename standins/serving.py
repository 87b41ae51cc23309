"""Helpers that the stand-ins' HTTP servers share."""

import asyncio
import signal
from typing import Any, Protocol, TypeVar

from tornado import netutil
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application, RequestHandler

ServerT = TypeVar('ServerT', bound=HTTPServer)


class StandIn(Protocol):
    """A stand-in that can be started inside a running loop."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


def listen(
    application: Application,
    *,
    address: str,
    kind: type[ServerT],
    max_body_size: int,
) -> tuple[ServerT, str]:
    """Serve on ``address`` and return the server with the address it got for port 0."""
    number, _, port = address.rpartition(':')
    server = kind(application, max_body_size=max_body_size)
    sockets = netutil.bind_sockets(int(port), number)
    server.add_sockets(sockets)
    return server, f'{number}:{sockets[0].getsockname()[1]}'


def stream_of(handler: RequestHandler) -> IOStream:
    """Return the stream of the caller's connection."""
    connection: Any = handler.request.connection
    stream: IOStream = connection.stream
    return stream


def drop_connection(handler: RequestHandler) -> None:
    """Close the caller's connection without an answer."""
    stream_of(handler).close()


async def serve_forever(stand_in: StandIn) -> None:
    """Run a stand-in as a process, until it gets SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stand_in.start()
    await stopped.wait()
    await stand_in.stop()
