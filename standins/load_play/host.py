"""An entry host that decides with the product's own modules."""

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
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.target_attempt import AttemptOutcome, TargetAttempt
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_selector import TargetSelector
from balsamrail.placement.target_state import TargetState
from balsamrail.placement.warmup_limiter import WarmupLimiter
from standins.load_play.agenda import Agenda
from standins.load_play.site import KindSize, Site
from standins.load_play.tally import Tally
from standins.load_play.target import PlayedTarget, Work

_HOST_NAME = 'play.example'
_MAX_ATTEMPTS = 2
_WARMUP_S = 3.0
_WARMUP_PER_S = 8.0
_IN_ZONE_S = 0.0002


@dataclass(slots=True, kw_only=True)
class PlayedRequest:
    """A request of a caller at a host.

    :param answered: called once with ``done``, ``refused`` or ``failed`` and the seconds after
        which a refused caller may come back.
    """

    kind: KindSize
    object_key: str
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


class PlayedHost:
    """Takes requests to played targets as an entry host does.

    :param hosts: the names of all hosts.
    :param keeps_near: whether objects with large exchanges are placed in each zone.
    """

    __slots__ = (
        '_agenda',
        '_budgets',
        '_environment',
        '_keeps_near',
        '_route_by_kind',
        '_site',
        '_sizes',
        '_tally',
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
        agenda: Agenda,
        targets_by_id: Mapping[str, PlayedTarget],
        tally: Tally,
        hosts: frozenset[str],
        make_target_selector: Callable[[TargetRegistry, WarmupLimiter], TargetSelector],
        keeps_near: bool,
    ) -> None:
        self._environment = environment
        self._site = site
        self._agenda = agenda
        self._targets_by_id = targets_by_id
        self._tally = tally
        self.catalog = Catalog(environment=environment)
        manifest = manifest_of(site)
        self.catalog.offer_manifest(manifest)
        self._route_by_kind = {route.name: route for route in manifest.routes}
        self.target_registry = TargetRegistry(catalog=self.catalog, settings=environment.settings)
        warmup_limiter = WarmupLimiter(own_host=environment.settings.host)
        warmup_limiter.set_hosts(hosts)
        self._target_selector = make_target_selector(self.target_registry, warmup_limiter)
        self._keeps_near = keeps_near
        self._sizes = ExchangeSizes()
        self._budgets = RetryBudgets(
            bounds=environment.settings.bounds, fleet_size=lambda: len(hosts)
        )

    def handle(self, request: PlayedRequest) -> None:
        """Take a request to a target or refuse it."""
        self._budgets.of(request.kind.service).note_request(now=self._agenda.now)
        left_s = request.deadline - self._agenda.now
        self._agenda.after(left_s, lambda: self._give_up(request))
        self._try(request)

    def _try(self, request: PlayedRequest) -> None:
        route = self._route_by_kind[request.kind.name]
        choice = self._target_selector.select(
            route,
            service=request.kind.service,
            object_key=request.object_key,
            tried=request.sent,
            now=self._agenda.now,
            prefers_own_zone=self._keeps_near and self._sizes.are_large(route.name),
        )
        if isinstance(choice, Rejection):
            self._end(request, 'refused', choice.retry_after_s)
            return
        request.attempt = choice.begin(
            route=route.name, object_key=request.object_key, now=self._agenda.now
        )
        request.state = choice
        request.sent.append(choice.entry.target_id)
        self._count_bytes(request.kind, choice)
        delay_s = self._delay_s(choice)
        self._agenda.after(delay_s, lambda: self._arrive(request, choice, delay_s))

    def _arrive(self, request: PlayedRequest, state: TargetState, delay_s: float) -> None:
        if request.is_over:
            return
        target = self._targets_by_id[state.entry.target_id]
        work = Work(
            object_key=request.object_key,
            work_s=request.kind.work_s,
            expires_at=request.deadline,
            ended=lambda has_run: self._agenda.after(
                delay_s, lambda: self._answer(request, state, has_run)
            ),
        )
        if not target.is_up:
            self._agenda.after(delay_s, lambda: self._refused_connection(request, state))
        elif not target.take(work):
            self._agenda.after(delay_s, lambda: self._answer(request, state, False))

    def _answer(self, request: PlayedRequest, state: TargetState, has_run: bool) -> None:
        if request.is_over:
            return
        state.note_load(self._targets_by_id[state.entry.target_id].load(), now=self._agenda.now)
        self._release(request, AttemptOutcome.answered if has_run else AttemptOutcome.refused)
        if has_run:
            self._sizes.note(
                request.kind.name,
                sent_bytes=0,
                received_bytes=request.kind.exchange_bytes - OVERHEAD_BYTES,
            )
            self._end(request, 'done', 0)
        else:
            self._tally.sends['rejected'] += 1
            self._try_again(request)

    def _refused_connection(self, request: PlayedRequest, state: TargetState) -> None:
        if request.is_over:
            return
        self._release(request, AttemptOutcome.abandoned)
        state.note_down(check_at=self._agenda.now, now=self._agenda.now)
        self._try_again(request)

    def _try_again(self, request: PlayedRequest) -> None:
        budget = self._budgets.of(request.kind.service)
        if len(request.sent) < _MAX_ATTEMPTS and budget.try_acquire(now=self._agenda.now):
            self._try(request)
        else:
            self._end(request, 'refused', 0.1)

    def _give_up(self, request: PlayedRequest) -> None:
        if not request.is_over:
            self._release(request, AttemptOutcome.timed_out)
            self._end(request, 'failed', 0)

    def _release(self, request: PlayedRequest, ending: AttemptOutcome) -> None:
        if request.state is not None and request.attempt is not None:
            request.state.end(request.attempt, ending, now=self._agenda.now)
            request.state = None

    def _end(self, request: PlayedRequest, outcome: str, retry_after_s: float) -> None:
        request.is_over = True
        request.answered(outcome, retry_after_s)

    def _delay_s(self, state: TargetState) -> float:
        settings = self._environment.settings
        if state.entry.region != settings.region:
            return self._site.region_delay_s
        if state.entry.availability_zone != settings.availability_zone:
            return self._site.zone_delay_s
        return _IN_ZONE_S

    def _count_bytes(self, kind: KindSize, state: TargetState) -> None:
        settings = self._environment.settings
        if state.entry.region != settings.region:
            self._tally.region_bytes += kind.exchange_bytes
        elif state.entry.availability_zone != settings.availability_zone:
            self._tally.zone_bytes += kind.exchange_bytes
