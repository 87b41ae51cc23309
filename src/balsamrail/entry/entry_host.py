"""An entry host: wiring of its components, listeners and graceful shutdown."""

import asyncio
import signal
from typing import Any

from balsamrail.catalog.customer import Customer
from balsamrail.delivery.crash_detector import CRASH_LIMIT
from balsamrail.entry.delivery_components import DeliveryComponents
from balsamrail.entry.entry_gauges import EntryGauges
from balsamrail.entry.graceful_shutdown import GracefulShutdown
from balsamrail.entry.listeners import Listeners
from balsamrail.entry.settings_file import SettingsFile
from balsamrail.entry.store_components import StoreComponents
from balsamrail.environment import Environment
from balsamrail.exchange.crash_archive import CrashArchive
from balsamrail.fleet.directory import Directory
from balsamrail.gauge import Gauge
from balsamrail.platform.caller_server import CallerServer
from balsamrail.platform.crash_store import CrashStore
from balsamrail.platform.lookup_server import lookup_pages
from balsamrail.process.operator_pages import operator_pages
from balsamrail.process.supervisor import Supervisor
from balsamrail.quotas import MemberQuotaFleet, QuotaLimiter

_LOOKUP_TTL_S = 1.0
_SWEEP_INTERVAL_S = 1.0


class EntryHost:
    """Runs an entry host of the platform deployment until SIGTERM.

    :param settings_path: the settings file, which is reloaded when it changes.
    """

    def __init__(self, *, environment: Environment, settings_path: str | None = None) -> None:
        self._environment = environment
        self.settings_file = SettingsFile(environment=environment, path=settings_path)
        self.store_components = StoreComponents(environment=environment)
        self.catalog = self.store_components.catalog
        self.members = self.store_components.members
        self.manifest_lease = self.store_components.manifest_lease
        self.directory = Directory(
            environment=environment,
            catalog=self.catalog,
            members=self.members,
            manifest_lease=self.manifest_lease,
        )
        self.quotas = QuotaLimiter(
            environment=environment,
            network=self.store_components.network,
            fleet=MemberQuotaFleet(environment=environment, members=self.members),
            customers=self._customers,
        )
        self.delivery = DeliveryComponents(
            environment=environment,
            catalog=self.catalog,
            members=self.members,
            network=self.store_components.network,
            freshness=self.manifest_lease,
            customer_limits=self.quotas,
        )
        self.crash_archive = CrashArchive(
            environment=environment,
            registry=self.delivery.crashes,
            source=CrashStore(environment=environment, store=self.store_components.store),
            limit=CRASH_LIMIT,
        )
        self.catalog.subscribe(self._on_catalog_change)
        self.members.subscribe(self._on_members_change)
        self._gauges = EntryGauges(
            clock=environment.clock,
            catalog=self.catalog,
            target_registry=self.delivery.target_registry,
            dispatcher=self.delivery.dispatcher,
            members=self.members,
            watch=self.store_components.watch,
            manifest_lease=self.manifest_lease,
        )
        self.callers = CallerServer(environment=environment, handler=self.delivery.dispatcher)
        self._listeners = Listeners(
            environment=environment,
            callers=self.callers,
            lookups=lookup_pages(
                look_up=self.directory.addresses, is_ready=self._is_ready, ttl_s=_LOOKUP_TTL_S
            ),
            operators=operator_pages(
                dump=self.dump,
                status=self.status,
                metrics=self.metrics_page,
                explain=self.delivery.dispatcher.explainer.explain,
            ),
            accept_peer=self.store_components.network.accept,
        )
        self._supervisor = Supervisor(environment=environment)
        self._stopping = asyncio.Event()

    def install_signal_handlers(self) -> None:
        """Shut down gracefully at SIGTERM or SIGINT, and reload the settings at SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.settings_file.reload)

    def stop(self) -> None:
        """Start the graceful shutdown."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until :meth:`stop` is called."""
        self._listeners.listen()
        self._start_parts()
        self._environment.log.event('host_started', incarnation=self._environment.incarnation)
        await self._stopping.wait()
        await self._shut_down()

    async def _shut_down(self) -> None:
        self.directory.is_leaving = True
        self.members.announce_leaving()
        stop = GracefulShutdown(
            environment=self._environment,
            callers=self.callers,
            requests=self.delivery.dispatcher,
            lookup_ttl_s=_LOOKUP_TTL_S,
        )
        left = await stop.run()
        self.members.announce_stopped()
        await self.end()
        self._environment.log.event('host_stopped', in_flight=left)

    async def end(self) -> None:
        """Close all components immediately, without a graceful shutdown."""
        self._listeners.close()
        await self._supervisor.stop()
        self.delivery.close()

    def status(self) -> dict[str, Any]:
        """Return a summary of the state of this host."""
        manifest = self.catalog.manifest
        return {
            'host': self._environment.settings.host,
            'incarnation': self._environment.incarnation,
            'is_ready': self._is_ready(),
            'is_leaving': self._stopping.is_set(),
            'manifest_version': manifest.version if manifest else None,
            'targets': len(self.catalog.entries_by_id),
            'in_flight': self.callers.in_flight,
        }

    def metrics_page(self) -> str:
        """Return counters, latencies and gauges in the text format for metrics collectors."""
        in_flight = Gauge(name='requests_in_flight', value=self.callers.in_flight)
        is_ready = Gauge(name='ready', value=self._is_ready())
        memory = self._environment.caller_memory
        callers = (
            Gauge(name='quota_customers_limited', value=self.quotas.limited_count()),
            Gauge(name='caller_memory_bytes', value=memory.used_bytes),
            Gauge(
                name='caller_connections',
                label='address',
                value_by_label=self._listeners.open_connections(),
            ),
        )
        return self._environment.metrics.page(
            [in_flight, is_ready, *callers, *self._gauges.read()]
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of all components as plain data."""
        parts: dict[str, Any] = {
            'catalog': self.catalog,
            'directory': self.directory,
            'delivery': self.delivery,
            'quotas': self.quotas,
            'crash_archive': self.crash_archive,
            'watch': self.store_components.watch,
            'hub': self.store_components.hub,
            'manifest_lease': self.store_components.manifest_renewal,
            'members': self.members,
            'losses': self.store_components.loss_record,
            'metrics': self._environment.metrics,
        }
        state = {name: part.dump() for name, part in parts.items()}
        return {'status': self.status(), **state}

    def _start_parts(self) -> None:
        parts: dict[str, Any] = {
            'announcer': self.store_components.announcer,
            'network': self.store_components.network,
            'losses': self.store_components.loss_record,
            'crash_archive': self.crash_archive,
            'watch': self.store_components.watch,
            'hub': self.store_components.hub,
            'manifest_lease': self.store_components.manifest_renewal,
            'reviver': self.delivery.health_checker,
            'silence': self.delivery.liveness_checker,
            'paths': self.delivery.path_watcher,
            'quotas': self.quotas,
            'settings_file': self.settings_file,
        }
        for name, part in parts.items():
            self._supervisor.start(name, part.run)
        self._supervisor.start('sweep', self._sweep_periodically)

    def _customers(self) -> tuple[Customer, ...]:
        manifest = self.catalog.manifest
        return manifest.customers if manifest else ()

    def _is_ready(self) -> bool:
        return self.catalog.is_ready() and not self._stopping.is_set()

    def _on_catalog_change(self) -> None:
        self.delivery.target_registry.refresh(now=self._environment.clock.monotonic())
        if self.catalog.manifest is not None:
            self.members.announce_ready()
            limits = self.catalog.manifest.limits
            self.callers.limits = limits
            self._listeners.set_idle_timeout(limits.idle_timeout_s)

    def _on_members_change(self) -> None:
        region_by_host = {entry.host: '' for entry in self.members.host_list.hosts()}
        region_by_host.update((member.host, member.region) for member in self.members.known())
        self.delivery.fleet.replace(region_by_host)

    async def _sweep_periodically(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self.delivery.close_stale_connections()
            self._environment.caller_memory.refuse_slow()
            self._listeners.close_slow(header_timeout_s=self.callers.limits.header_timeout_s)
            self._environment.caller_refusals.log_due()
            self._on_members_change()
