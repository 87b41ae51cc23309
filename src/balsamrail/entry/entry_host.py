"""Builds the parts of an entry host, listens, and stops as planned."""

import asyncio
import signal

from tornado.httpserver import HTTPServer

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.store_contact import StoreContact
from balsamrail.delivery.dispatcher import Dispatcher
from balsamrail.delivery.target_pool import TargetPool
from balsamrail.environment import Environment
from balsamrail.host import Supervisor
from balsamrail.placement.chooser import Chooser
from balsamrail.placement.target_book import TargetBook
from balsamrail.platform.caller_server import CallerServer
from balsamrail.platform.catalog_feeds import EVACUATIONS, CatalogFeeds
from balsamrail.platform.lookup_server import lookup_application
from balsamrail.platform.object_store import ObjectStore
from balsamrail.platform.target_protocol import TargetProtocol
from balsamrail.settings.address import split_address

_BACKLOG = 1_024
_LOOKUP_TTL_S = 1.0
_SWEEP_S = 1.0


class EntryHost:
    """One entry host."""

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self.store = ObjectStore(environment=environment)
        self.contact = StoreContact(environment=environment, source=self.store, kind=EVACUATIONS)
        self.catalog = Catalog(environment=environment)
        self.feeds = CatalogFeeds(
            environment=environment,
            catalog=self.catalog,
            source=self.store,
            contact=self.contact,
        )
        self.book = TargetBook(catalog=self.catalog)
        self.catalog.subscribe(self._catalog_changed)
        self.pool = TargetPool(environment=environment)
        self.dispatcher = Dispatcher(
            environment=environment,
            catalog=self.catalog,
            chooser=Chooser(book=self.book),
            pool=self.pool,
            wire=TargetProtocol(),
        )
        self.callers = CallerServer(environment=environment, handler=self.dispatcher)
        self._supervisor = Supervisor(environment=environment)
        self._stopping = asyncio.Event()

    def stop_on_signal(self) -> None:
        """Begin the planned stop at SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)

    async def run(self) -> None:
        """Serve until stopped."""
        settings = self._environment.settings
        server = HTTPServer(self.callers, idle_connection_timeout=60, max_header_size=65536)  # type: ignore[arg-type]
        ip, port = split_address(settings.caller_address)
        server.listen(port, address=ip, backlog=_BACKLOG)
        application = lookup_application(
            look_up=self._look_up, is_ready=self._is_ready, ttl_s=_LOOKUP_TTL_S
        )
        small = HTTPServer(application)
        for address in (settings.lookup_address, settings.readiness_address):
            if address is not None:
                ip, port = split_address(address)
                small.listen(port, address=ip, backlog=_BACKLOG)
        self._supervisor.start('contact', self.contact.run)
        for number, feed in enumerate(self.feeds.feeds):
            self._supervisor.start(f'feed {number}', feed.run)
        self._supervisor.start('pool', self._sweep)
        self._environment.log.event('host_started')
        await self._stopping.wait()
        self._environment.log.event('host_stopping', in_flight=self.callers.in_flight)
        self.callers.is_leaving = True
        await asyncio.sleep(3)
        self._environment.log.event('host_stopped', in_flight=self.callers.in_flight)

    def _is_ready(self) -> bool:
        return self.catalog.is_ready() and not self._stopping.is_set()

    def _look_up(self, *, name: str, region: str, zone: str) -> list[str]:
        return [self._environment.settings.caller_address]

    def _catalog_changed(self) -> None:
        self.book.refresh(now=self._environment.clock.monotonic())
        if self.catalog.manifest is not None:
            self.callers.limits = self.catalog.manifest.limits

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.pool.sweep()
