"""A dispatcher with scripted targets, for steps that test delivery."""

import asyncio
import contextlib
import socket

import platform_helpers
from forwarding_parts import PeerNetwork, RawUpstream, whole
from free_ports import free_address
from placement_parts import REGION_BY_ZONE, make_entry, make_manifest, make_route
from tornado.httputil import HTTPHeaders

from balsamrail.catalog.catalog import Catalog
from balsamrail.delivery.crash_detector import CrashDetector
from balsamrail.delivery.dispatcher import Dispatcher
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.health_checker import HealthChecker
from balsamrail.delivery.http_connection_pool import HttpConnectionPool
from balsamrail.delivery.limit_reports import LimitReports
from balsamrail.delivery.liveness_checker import LivenessChecker
from balsamrail.delivery.manifest_freshness import ALWAYS_CONFIRMED
from balsamrail.delivery.notice_handler import NoticeHandler
from balsamrail.delivery.target_exchange import TargetExchange
from balsamrail.errors import RequestError
from balsamrail.exchange.crash_registry import CrashRegistry
from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_selector import TargetSelector
from balsamrail.platform.proxy_protocol import ProxyProtocol
from balsamrail.platform.target_protocol import TargetProtocol
from balsamrail.proxying.proxy_admission import ProxyAdmission
from balsamrail.proxying.proxy_exchange import ProxyExchange
from balsamrail.proxying.proxy_host_selector import ProxyHostSelector
from balsamrail.proxying.request_proxy import RequestProxy
from balsamrail.quotas.quota_grant import QuotaGrant
from balsamrail.settings.bounds import Bounds


def response_to(headers, body=b'whole', **more):
    fields = {
        'X-Request-Id': headers.get('x-request-id', ''),
        'X-Response-Signature': 'signed',
        **{name.replace('_', '-'): value for name, value in more.items()},
    }
    return whole(body, **fields)


async def send_deadly_repeatedly(context, delivery, *, prepare=lambda number: None):
    """Send 12 requests for /read/deadly, and one for another path after each of them.

    ``context`` gets the errors of the first, the codes of the second, and how many targets the first
    reached. ``prepare`` is called with the number of each before it is sent.
    """
    context.errors = []
    context.codes = []
    for number in range(12):
        prepare(number)
        try:
            await delivery.send(f'd-{number}', path='/read/deadly', key=f'k-{number}')
        except RequestError as error:
            context.errors.append(error)
        await asyncio.sleep(0.05)
        response = await delivery.send(f'r-{number}', key=f'k-{number}')
        context.codes.append(response.status)
    heads = [[head for head in t.heads if 'deadly' in head] for t in delivery.targets]
    context.reached = sum(map(bool, heads))
    delivery.stop()


def crash_on(path, harness, number):
    """Return the behaviour of a target that ends when it begins to run a request for ``path``."""

    async def crash(count, headers, writer):
        target = harness.targets[number]
        if path in target.heads[count - 1]:
            target.stop()
            raise ConnectionError
        writer.write(response_to(headers))

    return crash


@contextlib.contextmanager
def simulate_power_loss(target):
    """Keep a target's connections open while its address accepts no new ones.

    A listener with a full backlog drops connection requests, so clients see no response, as with
    a machine without power.
    """
    target.stop()
    number, _, port = target.address.rpartition(':')
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((number, int(port)))
        listener.listen(0)
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((number, int(port)))
        yield


class MemberTable(dict):
    """The other hosts by name, through which requests may be sent."""

    def __init__(self):
        super().__init__()
        self.listeners = []

    def advertised(self):
        return list(self.values())

    def subscribe(self, changed):
        self.listeners.append(changed)


class UnlimitedCustomers:
    """Lets each request of a customer run."""

    async def acquire(self, customer, *, is_urgent):
        return QuotaGrant()


class DeliveryHarness:
    """The dispatcher of one host; each of ``behaviours`` handles the requests of one target."""

    def __init__(
        self,
        behaviours,
        *,
        slack=1000,
        allowed_regions=frozenset(),
        entries=(),
        other_hosts=None,
        **settings,
    ):
        self.behaviours = behaviours
        # Fields of the target entries, in the order of the targets.
        self.entries = entries
        self.allowed_regions = allowed_regions
        # Hosts of the region that share the limits of targets; None while they are not known.
        self.other_hosts = other_hosts
        self.bounds = Bounds(retry_ratio=0, retry_slack=slack)
        self.settings = settings
        self.freshness = ALWAYS_CONFIRMED
        self.targets = []
        self.members = MemberTable()
        self.customer_limits = UnlimitedCustomers()

    async def start(self, *, first_target_refuses=False):
        for behaviour in self.behaviours:
            self.targets.append(await RawUpstream(behaviour).start())
        self.log = platform_helpers.RecordedLog()
        environment = platform_helpers.make_environment(
            log=self.log,
            region_by_availability_zone=REGION_BY_ZONE,
            bounds=self.bounds,
            **self.settings,
        )
        self.environment = environment
        catalog = Catalog(environment=environment)
        self.catalog = catalog
        catalog.offer_manifest(
            make_manifest(
                make_route(path_prefix='/read/', allowed_regions=self.allowed_regions),
                make_route(
                    path_prefix='/write/',
                    is_idempotent=False,
                    allowed_regions=self.allowed_regions,
                ),
            )
        )
        self.catalog = catalog
        target_registry = TargetRegistry(catalog=catalog, settings=environment.settings)
        addresses = [target.address for target in self.targets]
        if first_target_refuses:
            addresses.insert(0, free_address())
        for number, address in enumerate(addresses):
            fields = self.entries[number] if self.entries else {}
            catalog.put_target(make_entry(f'i-{number}', address=address, slots=8, **fields))
        target_registry.refresh(now=0)
        self.target_registry = target_registry
        self.pool = HttpConnectionPool(environment=environment)
        liveness_checker = LivenessChecker(
            environment=environment, target_registry=target_registry
        )
        self.liveness_task = asyncio.create_task(liveness_checker.run())
        self.crash_network = PeerNetwork()
        register = CrashRegistry(environment=environment, network=self.crash_network)
        self.crash_detector = CrashDetector(environment=environment, register=register)
        self.network = PeerNetwork()
        self.notice_handler = NoticeHandler(
            environment=environment,
            limit_reports=LimitReports(
                environment=environment, network=self.network, target_registry=target_registry
            ),
        )
        self.exchange = TargetExchange(
            environment=environment,
            pool=self.pool,
            codec=TargetProtocol(),
            notice_handler=self.notice_handler,
        )
        self.fleet = FleetHosts(own_host='attiki-a-1', own_region='attiki')
        if self.other_hosts is not None:
            self.fleet.replace(dict.fromkeys(self.other_hosts, 'attiki'))
        self.send_limits = SendLimits(fleet=self.fleet, target_registry=target_registry)
        self.dispatcher = Dispatcher(
            environment=environment,
            catalog=catalog,
            target_selector=TargetSelector(
                target_registry=target_registry, send_limits=self.send_limits
            ),
            exchange=self.exchange,
            crashes=self.crash_detector,
            budgets=RetryBudgets(bounds=self.bounds, fleet_size=lambda: 1),
            admission=ProxyAdmission(paths=target_registry.paths),
            proxy=self._make_proxy(),
            freshness=self.freshness,
            customer_limits=self.customer_limits,
        )
        return self

    def _make_proxy(self):
        selector = ProxyHostSelector(environment=self.environment, members=self.members)
        return RequestProxy(
            environment=self.environment,
            target_registry=self.target_registry,
            selector=selector,
            exchange=ProxyExchange(
                environment=self.environment,
                members=self.members,
                selector=selector,
                codec=ProxyProtocol(),
            ),
            codec=TargetProtocol(),
            notice_handler=self.notice_handler,
        )

    def stop(self):
        self.liveness_task.cancel()
        self.pool.close()
        for target in self.targets:
            target.stop()

    def make_health_checker(self):
        return HealthChecker(
            environment=self.environment,
            catalog=self.catalog,
            target_registry=self.target_registry,
            codec=TargetProtocol(),
            notice_handler=self.notice_handler,
            send_limits=self.send_limits,
        )

    def send(self, request_id, *, path='/read/x', key='x', caller_timeout_s=2.0):
        return self.dispatcher.handle(self.request(request_id, path, key, caller_timeout_s))

    def request(self, request_id, path, key, caller_timeout_s):
        return EntryRequest(
            request_id=request_id,
            method='GET',
            host='lepu.example',
            path=path,
            headers=HTTPHeaders({'X-Request-Id': request_id, 'Host': 'lepu.example'}),
            object_key=key,
            arrived_at=asyncio.get_running_loop().time(),
            caller_timeout_s=caller_timeout_s,
        )

    def key_that_prefers(self, target_id):
        """Return an affinity key whose preferred target is ``target_id``."""
        order = self.target_registry.order_of('lepu', allowed_regions=self.allowed_regions)
        for number in range(1_000):
            name = f'object {number}'
            found = next(order.candidates(f'lepu.example/read/{name}', per_region=1))
            other = next(order.candidates(f'lepu.example/write/{name}', per_region=1))
            if found == other == target_id:
                return name
        raise AssertionError(target_id)

    def attempts(self):
        return [len(target.heads) for target in self.targets]
