"""Stand-in for an upstream that implements the upstream contract and can violate it on demand.

Run it with ``python -m standins.upstream --address 127.0.0.1:9001 --service diary --slots 4``.
"""

import argparse
import asyncio
import json
import os
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application

from standins.execution_log import ExecutionLog
from standins.serving import listen, serve_forever
from standins.upstream_behaviour import UpstreamBehaviour
from standins.upstream_handlers import (
    BehaviourHandler,
    ExecutionsHandler,
    HealthHandler,
    RequestExecutor,
)
from standins.upstream_state import UpstreamState

_MAX_BODY_BYTES = 16_777_216
_CRASH_STATUS = 70


class UpstreamStandIn:
    """Serves one target of a service inside the running event loop.

    Tests set the behaviour directly::

        upstream = UpstreamStandIn(service='diary')
        await upstream.start()
        upstream.behaviour.cut_next = 1
        ...
        await upstream.stop()

    :param address: port 0 binds a free port, which :attr:`address` contains after the start.
    :param executions_path: a file that retains executions across restarts of the process.
    :param crash: ends the process; the default closes all sockets, as the kernel does when a
        process dies.
    """

    def __init__(
        self,
        *,
        service: str,
        address: str = '127.0.0.1:0',
        behaviour: UpstreamBehaviour | None = None,
        executions_path: Path | None = None,
        crash: Callable[[], None] | None = None,
    ) -> None:
        self.address = address
        self.service = service
        self.behaviour = behaviour or UpstreamBehaviour()
        self.log = ExecutionLog(path=executions_path)
        self.state: UpstreamState | None = None
        self._crash = crash or self.close_sockets
        self._server: _TrackingServer | None = None

    async def start(self) -> None:
        """Start listening, cold. A restart after a crash or :meth:`stop` keeps the address."""
        self.state = UpstreamState(
            service=self.service,
            address=self.address,
            behaviour=self.behaviour,
            log=self.log,
            crash=self._crash,
        )
        arguments = {'state': self.state}
        application = Application(
            [
                (r'/health', HealthHandler, arguments),
                (r'/executions', ExecutionsHandler, arguments),
                (r'/behaviour', BehaviourHandler, arguments),
                (r'(.*)', RequestExecutor, arguments),
            ],
            log_function=lambda _: None,
        )
        self._server, self.address = listen(
            application,
            address=self.address,
            kind=_TrackingServer,
            max_body_size=_MAX_BODY_BYTES,
        )
        self._server.streams = self.state.open_streams
        self.state.address = self.address
        self.state.record_health()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.close_sockets()

    def close_sockets(self) -> None:
        """Close the listener and all connections, as the exit of the process would."""
        if self._server is not None and self.state is not None:
            self._server.stop()
            for stream in list(self.state.open_streams):
                stream.close()
            self._server = None


class _TrackingServer(HTTPServer):
    """Tracks open connections, including those that have not carried a request yet."""

    streams: set[IOStream]

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        for closed in [entry for entry in self.streams if entry.closed()]:
            self.streams.discard(closed)
        self.streams.add(stream)
        super().handle_stream(stream, address)


def main() -> None:
    """Run the stand-in as a separate process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--slots', type=int, default=4)
    parser.add_argument('--service-time-s', type=float, default=0.02)
    parser.add_argument('--behaviour', default='{}', help='further behaviour as a JSON object')
    parser.add_argument('--executions-path', type=Path)
    options = parser.parse_args()
    changes: dict[str, Any] = {
        'slots': options.slots,
        'service_time_s': options.service_time_s,
        **json.loads(options.behaviour),
    }
    stand_in = UpstreamStandIn(
        service=options.service,
        address=options.address,
        behaviour=UpstreamBehaviour(**changes),
        executions_path=options.executions_path,
        crash=partial(os._exit, _CRASH_STATUS),
    )
    asyncio.run(serve_forever(stand_in))


if __name__ == '__main__':
    main()
