"""Helpers shared by the HTTP servers of the stand-ins."""

import asyncio
import signal
from typing import Any, Protocol, TypeVar

from tornado import netutil
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application, RequestHandler

ServerT = TypeVar('ServerT', bound=HTTPServer)


class StandIn(Protocol):
    """A stand-in that is started inside a running event loop."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


def listen(
    application: Application,
    *,
    address: str,
    kind: type[ServerT],
    max_body_size: int,
) -> tuple[ServerT, str]:
    """Listen on ``address``; return the server and its address with the port that was bound."""
    ip_address, _, port = address.rpartition(':')
    server = kind(application, max_body_size=max_body_size)
    sockets = netutil.bind_sockets(int(port), ip_address)
    server.add_sockets(sockets)
    return server, f'{ip_address}:{sockets[0].getsockname()[1]}'


def stream_of(handler: RequestHandler) -> IOStream:
    """Return the stream of the client connection."""
    connection: Any = handler.request.connection
    stream: IOStream = connection.stream
    return stream


def drop_connection(handler: RequestHandler) -> None:
    """Close the client connection without sending a response."""
    stream_of(handler).close()


async def serve_forever(stand_in: StandIn) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for ip_address in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(ip_address, stopped.set)
    await stand_in.start()
    await stopped.wait()
    await stand_in.stop()
