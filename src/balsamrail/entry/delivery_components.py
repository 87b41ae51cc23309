"""Components that forward a host's requests to targets."""

from typing import Any

from balsamrail.catalog.catalog import Catalog
from balsamrail.delivery.crash_detector import CrashDetector
from balsamrail.delivery.customer_limits import CustomerLimits
from balsamrail.delivery.dispatcher import Dispatcher
from balsamrail.delivery.health_checker import HealthChecker
from balsamrail.delivery.http_connection_pool import HttpConnectionPool
from balsamrail.delivery.limit_reports import LimitReports
from balsamrail.delivery.liveness_checker import LivenessChecker
from balsamrail.delivery.manifest_freshness import ALWAYS_CONFIRMED, ManifestFreshness
from balsamrail.delivery.notice_handler import NoticeHandler
from balsamrail.delivery.path_watcher import PathWatcher
from balsamrail.delivery.target_exchange import TargetExchange
from balsamrail.entry.proxy_components import ProxyComponents
from balsamrail.environment import Environment
from balsamrail.exchange.crash_registry import CrashRegistry
from balsamrail.membership import Members, PeerNetwork
from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_selector import TargetSelector
from balsamrail.platform.target_protocol import TargetProtocol


class DeliveryComponents:
    """Creates the dispatcher and its dependencies.

    :param customer_limits: limits the requests of customers.
    :param members: provides the hosts that share the fleet-wide retry limits, and those through which
        requests go while this host does not reach the targets.
    :param freshness: tells whether API keys of the manifest in force can be relied on.
    """

    __slots__ = (
        '_clock',
        '_target_selector',
        'crashes',
        'dispatcher',
        'fleet',
        'health_checker',
        'liveness_checker',
        'path_watcher',
        'pool',
        'proxy_exchange',
        'target_registry',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        members: Members,
        network: PeerNetwork,
        freshness: ManifestFreshness = ALWAYS_CONFIRMED,
        customer_limits: CustomerLimits,
    ) -> None:
        settings = environment.settings
        codec = TargetProtocol()
        self._clock = environment.clock
        self.fleet = FleetHosts(own_host=settings.host, own_region=settings.region)
        self.target_registry = TargetRegistry(catalog=catalog, settings=settings)
        send_limits = SendLimits(fleet=self.fleet, target_registry=self.target_registry)
        notice_handler = NoticeHandler(
            environment=environment,
            limit_reports=LimitReports(
                environment=environment, network=network, target_registry=self.target_registry
            ),
        )
        self.pool = HttpConnectionPool(environment=environment)
        self.health_checker = HealthChecker(
            environment=environment,
            catalog=catalog,
            target_registry=self.target_registry,
            codec=codec,
            notice_handler=notice_handler,
            send_limits=send_limits,
        )
        self.liveness_checker = LivenessChecker(
            environment=environment, target_registry=self.target_registry
        )
        self.path_watcher = PathWatcher(
            environment=environment,
            target_registry=self.target_registry,
            announce=members.announce_degraded,
        )
        proxying = ProxyComponents(
            environment=environment,
            members=members,
            target_registry=self.target_registry,
            codec=codec,
            notice_handler=notice_handler,
        )
        self.proxy_exchange = proxying.exchange
        self.crashes = CrashRegistry(environment=environment, network=network)
        self._target_selector = TargetSelector(
            target_registry=self.target_registry, send_limits=send_limits
        )
        self.dispatcher = Dispatcher(
            environment=environment,
            catalog=catalog,
            target_selector=self._target_selector,
            exchange=TargetExchange(
                environment=environment,
                pool=self.pool,
                codec=codec,
                notice_handler=notice_handler,
            ),
            crashes=CrashDetector(environment=environment, register=self.crashes),
            budgets=RetryBudgets(
                bounds=settings.bounds, fleet_size=lambda: len(members.known()) + 1
            ),
            admission=proxying.admission,
            proxy=proxying.proxy,
            freshness=freshness,
            customer_limits=customer_limits,
        )

    def close_stale_connections(self) -> None:
        """Close the idle connections that are too old to be reused."""
        self.pool.close_stale()
        self.proxy_exchange.pool.close_stale()

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close()
        self.proxy_exchange.pool.close()

    def dump(self) -> dict[str, Any]:
        """Return the state of all components as plain data."""
        return {
            'targets': self.target_registry.dump(now=self._clock.monotonic()),
            'objects': self._target_selector.dump(now=self._clock.monotonic()),
            'pool': self.pool.dump(),
            'proxying': self.proxy_exchange.dump(),
            'reviver': self.health_checker.dump(),
            'silence': self.liveness_checker.dump(),
            'crashes': self.crashes.dump(),
        }
