"""An entry host: builds its parts, listens, and stops as planned."""

import asyncio
import signal
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.tcpserver import TCPServer

from balsamrail.delivery.dispatcher import Dispatcher
from balsamrail.delivery.reviver import Reviver
from balsamrail.delivery.target_exchange import TargetExchange
from balsamrail.delivery.target_pool import TargetPool
from balsamrail.entry.entry_stop import EntryStop
from balsamrail.entry.settings_file import SettingsFile
from balsamrail.entry.store_parts import StoreParts
from balsamrail.environment import Environment
from balsamrail.fleet.directory import Directory
from balsamrail.host import Supervisor
from balsamrail.membership import PeerServer
from balsamrail.placement.chooser import Chooser
from balsamrail.placement.cold_gate import ColdGate
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.target_book import TargetBook
from balsamrail.platform.caller_server import CallerServer
from balsamrail.platform.lookup_server import lookup_application
from balsamrail.platform.target_protocol import TargetProtocol
from balsamrail.settings.address import split_address

_BACKLOG = 1_024
_LOOKUP_TTL_S = 1.0
_SWEEP_S = 1.0
_IDLE_S = 60
_HEADER_BYTES = 65_536


class EntryHost:
    """Runs one entry host on the users' platform until SIGTERM.

    :param settings_path: the settings file, which is read again when it changes.
    """

    def __init__(self, *, environment: Environment, settings_path: str | None = None) -> None:
        self._environment = environment
        self.settings_file = SettingsFile(environment=environment, path=settings_path)
        settings = environment.settings
        self.shared = StoreParts(environment=environment)
        self.catalog = self.shared.catalog
        self.members = self.shared.members
        self.directory = Directory(
            environment=environment, catalog=self.catalog, members=self.members
        )
        self.gate = ColdGate(own_host=settings.host)
        self.book = TargetBook(catalog=self.catalog, settings=settings)
        self.catalog.subscribe(self._catalog_changed)
        self.members.subscribe(self._members_changed)
        self.pool = TargetPool(environment=environment)
        wire = TargetProtocol()
        self.reviver = Reviver(
            environment=environment, catalog=self.catalog, book=self.book, wire=wire
        )
        self.dispatcher = Dispatcher(
            environment=environment,
            catalog=self.catalog,
            chooser=Chooser(book=self.book, gate=self.gate),
            exchange=TargetExchange(environment=environment, pool=self.pool, wire=wire),
            budgets=RetryBudgets(
                bounds=settings.bounds, fleet_size=lambda: len(self.members.known()) + 1
            ),
        )
        self.callers = CallerServer(environment=environment, handler=self.dispatcher)
        self._supervisor = Supervisor(environment=environment)
        self._stopping = asyncio.Event()
        self._servers: list[TCPServer] = []

    def stop_on_signal(self) -> None:
        """Begin the planned stop at SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.settings_file.reload)

    async def run(self) -> None:
        """Serve until stopped."""
        self._listen_all()
        self._start_parts()
        self._environment.log.event('host_started', incarnation=self._environment.incarnation)
        await self._stopping.wait()
        await self._leave()

    async def _leave(self) -> None:
        self.directory.is_leaving = True
        self.members.leave()
        stop = EntryStop(
            environment=self._environment, callers=self.callers, lookup_ttl_s=_LOOKUP_TTL_S
        )
        left = await stop.run()
        self.members.finish()
        for server in self._servers:
            server.stop()
        await self._supervisor.stop()
        self.pool.close()
        self._environment.log.event('host_stopped', in_flight=left)

    def _listen_all(self) -> None:
        settings = self._environment.settings
        callers: Any = self.callers
        self._listen(
            HTTPServer(callers, idle_connection_timeout=_IDLE_S, max_header_size=_HEADER_BYTES),
            settings.caller_address,
        )
        lookups = lookup_application(
            look_up=self.directory.addresses, is_ready=self._is_ready, ttl_s=_LOOKUP_TTL_S
        )
        for address in {settings.lookup_address, settings.readiness_address}:
            if address is not None:
                self._listen(HTTPServer(lookups), address)
        peers = PeerServer(environment=self._environment, accept=self.shared.network.accept)
        self._listen(peers, settings.peer_address)

    def _listen(self, server: TCPServer, address: str) -> None:
        number, port = split_address(address)
        server.listen(port, address=number, backlog=_BACKLOG)
        self._servers.append(server)

    def _start_parts(self) -> None:
        parts: dict[str, Any] = {
            'announcer': self.shared.announcer,
            'network': self.shared.network,
            'watch': self.shared.watch,
            'hub': self.shared.hub,
            'reviver': self.reviver,
            'settings_file': self.settings_file,
        }
        for name, part in parts.items():
            self._supervisor.start(name, part.run)
        self._supervisor.start('sweep', self._sweep)

    def _is_ready(self) -> bool:
        return self.catalog.is_ready() and not self._stopping.is_set()

    def _catalog_changed(self) -> None:
        self.book.refresh(now=self._environment.clock.monotonic())
        if self.catalog.manifest is not None:
            self.callers.limits = self.catalog.manifest.limits

    def _members_changed(self) -> None:
        listed = {entry.host for entry in self.members.host_list.hosts()}
        known = {member.host for member in self.members.known()}
        self.gate.set_hosts(frozenset(listed | known))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.pool.sweep()
            self._members_changed()
