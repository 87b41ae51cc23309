"""In-memory stand-in for the platform store: the object API and the host list.

Run it with ``python -m standins.store --port 7000``.
"""

import argparse
import asyncio

from tornado.httpserver import HTTPServer
from tornado.web import Application

from standins.rate_limit import RateLimit
from standins.serving import listen, serve_forever
from standins.store_control import CopyHandler, CountersHandler, FaultsHandler
from standins.store_faults import StoreFaults
from standins.store_handlers import (
    MAX_VALUE_BYTES,
    HostHandler,
    HostsHandler,
    ListHandler,
    ObjectHandler,
    StoreState,
)


class StoreStandIn:
    """Serves the store protocol on a loopback port inside the running event loop.

    Tests inject faults directly::

        store = StoreStandIn()
        await store.start()
        store.faults.lose_answers = 1
        ...
        await store.stop()

    :param port: 0 binds a free port, which :attr:`address` contains after the start.
    """

    def __init__(
        self, *, port: int = 0, writes_per_s: int = 400, reads_per_s: int = 2_000
    ) -> None:
        self.address = f'127.0.0.1:{port}'
        self.state = StoreState(
            write_limit=RateLimit(per_s=writes_per_s),
            read_limit=RateLimit(per_s=reads_per_s),
        )
        self._server: HTTPServer | None = None

    @property
    def faults(self) -> StoreFaults:
        """The faults injected from the next call on."""
        return self.state.faults

    def calls(self, kind: str) -> int:
        """Return the number of calls of a kind, such as ``write`` or ``watch``."""
        return self.state.calls_by_kind[kind]

    async def start(self) -> None:
        """Start listening. A restart after :meth:`stop` keeps the address and all objects."""
        arguments = {'state': self.state}
        application = Application(
            [
                (r'/objects', ListHandler, arguments),
                (r'/objects/(.+)', ObjectHandler, arguments),
                (r'/hosts', HostsHandler, arguments),
                (r'/hosts/([^/]+)', HostHandler, arguments),
                (r'/faults', FaultsHandler, arguments),
                (r'/copy', CopyHandler, arguments),
                (r'/counters', CountersHandler, arguments),
            ],
            log_function=lambda _: None,
        )
        self._server, self.address = listen(
            application,
            address=self.address,
            kind=HTTPServer,
            max_body_size=2 * MAX_VALUE_BYTES,
        )

    async def stop(self) -> None:
        """Stop listening, so that connections are refused, and close all open connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None


def main() -> None:
    """Run the stand-in as a separate process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--writes-per-s', type=int, default=400)
    parser.add_argument('--reads-per-s', type=int, default=2_000)
    options = parser.parse_args()
    stand_in = StoreStandIn(
        port=options.port, writes_per_s=options.writes_per_s, reads_per_s=options.reads_per_s
    )
    asyncio.run(serve_forever(stand_in))


if __name__ == '__main__':
    main()
