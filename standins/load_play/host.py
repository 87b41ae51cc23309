"""A simulated entry host that uses the product's placement modules."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.catalog.service_spec import ServiceSpec
from balsamrail.catalog.weighted_service import WeightedService
from balsamrail.environment import Environment
from balsamrail.placement.exchange_sizes import OVERHEAD_BYTES, ExchangeSizes
from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_attempt import AttemptOutcome, TargetAttempt
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_selector import TargetSelector
from balsamrail.placement.target_state import TargetState
from standins.load_play.event_queue import EventQueue
from standins.load_play.load_statistics import LoadStatistics
from standins.load_play.site import RequestKind, Site
from standins.load_play.target import SimulatedTarget, Work

_HOST_NAME = 'play.example'
_MAX_ATTEMPTS = 2
_WARMUP_S = 3.0
_WARMUP_PER_S = 8.0
_IN_ZONE_S = 0.0002


@dataclass(slots=True, kw_only=True)
class SimulatedRequest:
    """A caller's request at a host.

    :param answered: called once with ``done``, ``refused`` or ``failed`` and the number of
        seconds after which a refused caller may retry.
    """

    kind: RequestKind
    object_key: str
    arrived_at: float
    deadline: float
    answered: Callable[[str, float], None]
    is_over: bool = False
    sent: list[str] = field(default_factory=list)
    state: TargetState | None = None
    attempt: TargetAttempt | None = None


def manifest_of(site: Site) -> Manifest:
    """Return the manifest of a deployment."""
    routes = tuple(
        ManifestRoute(
            name=kind.name,
            host=_HOST_NAME,
            path_prefix=f'/{kind.name}/',
            is_idempotent=kind.is_idempotent,
            timeout_s=kind.timeout_s,
            aim_s=kind.aim_s,
            priority=kind.priority,
            max_attempts=_MAX_ATTEMPTS,
            is_sticky=True,
            allowed_regions=frozenset(),
            parts=(WeightedService(service=kind.service, weight=1),),
        )
        for kind in site.kinds
    )
    services = {
        service.name: ServiceSpec(
            name=service.name,
            health_path='/health',
            max_connections=330,
            warmup_s=_WARMUP_S,
            warmup_per_s=_WARMUP_PER_S,
        )
        for service in site.services
    }
    return Manifest(version=1, routes=routes, services=services, limits=CallerLimits())


class SimulatedHost:
    """Forwards requests to simulated targets as an entry host does.

    :param hosts: names of all hosts.
    :param keeps_near: whether objects with large exchanges are placed in each zone.
    """

    __slots__ = (
        '_budgets',
        '_environment',
        '_event_queue',
        '_keeps_near',
        '_route_by_kind',
        '_site',
        '_sizes',
        '_statistics',
        '_target_selector',
        '_targets_by_id',
        'catalog',
        'target_registry',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        site: Site,
        event_queue: EventQueue,
        targets_by_id: Mapping[str, SimulatedTarget],
        statistics: LoadStatistics,
        region_by_host: Mapping[str, str],
        make_target_selector: Callable[[TargetRegistry, SendLimits], TargetSelector],
        keeps_near: bool,
    ) -> None:
        self._environment = environment
        self._site = site
        self._event_queue = event_queue
        self._targets_by_id = targets_by_id
        self._statistics = statistics
        self.catalog = Catalog(environment=environment)
        manifest = manifest_of(site)
        self.catalog.offer_manifest(manifest)
        self._route_by_kind = {route.name: route for route in manifest.routes}
        self.target_registry = TargetRegistry(catalog=self.catalog, settings=environment.settings)
        fleet = FleetHosts(
            own_host=environment.settings.host, own_region=environment.settings.region
        )
        fleet.replace(region_by_host)
        send_limits = SendLimits(fleet=fleet, target_registry=self.target_registry)
        self._target_selector = make_target_selector(self.target_registry, send_limits)
        self._keeps_near = keeps_near
        self._sizes = ExchangeSizes()
        self._budgets = RetryBudgets(
            bounds=environment.settings.bounds, fleet_size=lambda: len(region_by_host)
        )

    def handle(self, request: SimulatedRequest) -> None:
        """Forward a request to a target or refuse it."""
        self._budgets.of(request.kind.service).note_request(now=self._event_queue.now)
        left_s = request.deadline - self._event_queue.now
        self._event_queue.after(left_s, lambda: self._expire(request))
        self._attempt(request)

    def _attempt(self, request: SimulatedRequest) -> None:
        route = self._route_by_kind[request.kind.name]
        choice = self._target_selector.select(
            route,
            service=request.kind.service,
            object_key=request.object_key,
            tried=request.sent,
            now=self._event_queue.now,
            prefers_own_zone=self._keeps_near and self._sizes.are_large(route.name),
            waited_s=self._event_queue.now - request.arrived_at,
            left_s=request.deadline - self._event_queue.now,
        )
        if isinstance(choice, Rejection):
            self._end(request, 'refused', choice.retry_after_s)
            return
        request.attempt = choice.begin(
            route=route.name,
            object_key=request.object_key,
            aim_s=route.aim_s,
            now=self._event_queue.now,
        )
        request.state = choice
        request.sent.append(choice.entry.target_id)
        self._count_bytes(request.kind, choice)
        delay_s = self._delay_s(choice)
        self._event_queue.after(delay_s, lambda: self._arrive(request, choice, delay_s))

    def _arrive(self, request: SimulatedRequest, state: TargetState, delay_s: float) -> None:
        if request.is_over:
            return
        target = self._targets_by_id[state.entry.target_id]
        work = Work(
            object_key=request.object_key,
            work_s=request.kind.work_s,
            expires_at=request.deadline,
            ended=lambda has_run: self._event_queue.after(
                delay_s, lambda: self._answer(request, state, has_run)
            ),
        )
        if not target.is_up:
            self._event_queue.after(delay_s, lambda: self._connection_refused(request, state))
        elif not target.take(work):
            self._event_queue.after(delay_s, lambda: self._answer(request, state, False))

    def _answer(self, request: SimulatedRequest, state: TargetState, has_run: bool) -> None:
        if request.is_over:
            return
        state.note_load(
            self._targets_by_id[state.entry.target_id].load(), now=self._event_queue.now
        )
        self._release(request, AttemptOutcome.answered if has_run else AttemptOutcome.refused)
        if has_run:
            self._sizes.note(
                request.kind.name,
                sent_bytes=0,
                received_bytes=request.kind.exchange_bytes - OVERHEAD_BYTES,
            )
            self._end(request, 'done', 0)
        else:
            self._statistics.sends['rejected'] += 1
            self._retry(request)

    def _connection_refused(self, request: SimulatedRequest, state: TargetState) -> None:
        if request.is_over:
            return
        self._release(request, AttemptOutcome.abandoned)
        state.note_down(check_at=self._event_queue.now, now=self._event_queue.now)
        self._retry(request)

    def _retry(self, request: SimulatedRequest) -> None:
        budget = self._budgets.of(request.kind.service)
        if len(request.sent) < _MAX_ATTEMPTS and budget.try_acquire(now=self._event_queue.now):
            self._attempt(request)
        else:
            self._end(request, 'refused', 0.1)

    def _expire(self, request: SimulatedRequest) -> None:
        if not request.is_over:
            self._release(request, AttemptOutcome.timed_out)
            self._end(request, 'failed', 0)

    def _release(self, request: SimulatedRequest, ending: AttemptOutcome) -> None:
        if request.state is not None and request.attempt is not None:
            request.state.end(request.attempt, ending, now=self._event_queue.now)
            request.state = None

    def _end(self, request: SimulatedRequest, outcome: str, retry_after_s: float) -> None:
        request.is_over = True
        request.answered(outcome, retry_after_s)

    def _delay_s(self, state: TargetState) -> float:
        settings = self._environment.settings
        if state.entry.region != settings.region:
            return self._site.region_delay_s
        if state.entry.availability_zone != settings.availability_zone:
            return self._site.zone_delay_s
        return _IN_ZONE_S

    def _count_bytes(self, kind: RequestKind, state: TargetState) -> None:
        settings = self._environment.settings
        if state.entry.region != settings.region:
            self._statistics.region_bytes += kind.exchange_bytes
        elif state.entry.availability_zone != settings.availability_zone:
            self._statistics.zone_bytes += kind.exchange_bytes
