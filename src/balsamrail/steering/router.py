"""Admission of requests and selection of region and target."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from balsamrail.configuration import Declaration, Route
from balsamrail.environment import Environment
from balsamrail.errors import NotReadyError, UnknownServiceError
from balsamrail.membership.network import Network
from balsamrail.steering.admission import Admission
from balsamrail.steering.admission_recorder import AdmissionRecorder
from balsamrail.steering.attempt import Attempt
from balsamrail.steering.collaborators import DeclarationSource, MemberView
from balsamrail.steering.context import SteeringContext
from balsamrail.steering.placement import Placement
from balsamrail.steering.region_health_monitor import RegionHealthMonitor
from balsamrail.steering.region_selector import RegionSelector
from balsamrail.steering.routing_plan_cache import RoutingPlanCache
from balsamrail.steering.service_weights import ServiceWeights
from balsamrail.steering.share_epochs import ShareEpochs
from balsamrail.steering.share_lending import ShareLending
from balsamrail.steering.share_limiter import ShareLimiter
from balsamrail.steering.target_pickers import TargetPickers
from balsamrail.steering.target_prober import TargetProber
from balsamrail.store import Store

_STEP_INTERVAL_S = 0.5
# Two round trips between regions with a one-way delay of 35 ms.
_BORROW_TIMEOUT_S = 0.15
# A shorter wait may be below the resolution of the event loop's clock.
_MIN_WAIT_S = 0.001
_NO_ADDRESSES: frozenset[str] = frozenset()


class Router:
    """Admits a request if the held shares cover it, and selects its target.

    Requests are not queued: a request that no region can serve now is shed immediately::

        admission = router.admit(service='diary', declaration=declaration, route=route)

    :param random: source of randomness, seeded in tests.
    :param fetch: reads the health report of an address; by default over HTTP.
    """

    __slots__ = (
        '_environment',
        '_placement',
        '_plans',
        '_prober',
        '_recorder',
        '_region_monitor',
        '_region_selector',
        '_tracker',
        'epochs',
        'lending',
        'limiter',
        'pickers',
        'weights',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        tracker: DeclarationSource,
        members: MemberView,
        network: Network,
        store: Store,
        random: Random | None = None,
        fetch: Callable[[str], Any] | None = None,
    ) -> None:
        self._environment = environment
        self._tracker = tracker
        random_source = random or Random()
        self.limiter = ShareLimiter(environment=environment)
        self.lending = ShareLending(
            environment=environment,
            members=members,
            network=network,
            ledger_by_region=self.limiter.ledger_by_region,
            random=random_source,
        )
        self.pickers = TargetPickers(
            environment=environment, members=members, random=random_source
        )
        self.epochs = ShareEpochs(
            context=SteeringContext(
                environment=environment,
                tracker=tracker,
                members=members,
                network=network,
                store=store,
                random=random_source,
            ),
            ledger_by_region=self.limiter.ledger_by_region,
            assigned_slots=self.pickers.assigned_slots,
        )
        self.weights = ServiceWeights(environment=environment, members=members, network=network)
        self._prober = TargetProber(
            environment=environment,
            members=members,
            network=network,
            states=self.pickers.states,
            fetch=fetch,
        )
        self._region_monitor = RegionHealthMonitor(members=members, pickers=self.pickers)
        self._region_selector = RegionSelector(weights=self.weights, random=random_source)
        self._plans = RoutingPlanCache()
        self._placement = Placement(
            environment=environment,
            region_selector=self._region_selector,
            pickers=self.pickers,
            limiter=self.limiter,
            fence=self.epochs.fence,
            lending=self.lending,
        )
        self._recorder = AdmissionRecorder(environment=environment, fence=self.epochs.fence)
        tracker.subscribe(self._on_change)
        self._on_change()

    def admit(
        self,
        *,
        service: str,
        declaration: Declaration,
        route: Route | None,
        tried_addresses: frozenset[str] = _NO_ADDRESSES,
        allowed_addresses: frozenset[str] | None = None,
    ) -> Admission:
        """Return the admission of one attempt.

        :param tried_addresses: addresses of earlier attempts, which are excluded.
        :param allowed_addresses: addresses that may be selected, all if ``None``.
        :raises OverloadedError: if no region's held share covers the request.
        :raises NoTargetError: if shares cover the request but no target accepts it.
        """
        attempt = self._attempt(
            service,
            declaration,
            route,
            tried_addresses=tried_addresses,
            allowed_addresses=allowed_addresses,
        )
        admission, is_share_short = self._placement.place(attempt)
        return self._recorder.record(attempt, admission, is_share_short=is_share_short)

    async def admit_with_borrowing(
        self,
        *,
        service: str,
        declaration: Declaration,
        route: Route | None,
        tried_addresses: frozenset[str] = _NO_ADDRESSES,
        allowed_addresses: frozenset[str] | None = None,
        limit_s: float = _BORROW_TIMEOUT_S,
    ) -> Admission:
        """Like :meth:`admit`, but borrow from other hosts if the own share is short.

        :param limit_s: the maximum time to wait for other hosts, in seconds.
        :raises OverloadedError: also if 64 requests are already waiting.
        """
        attempt = self._attempt(
            service,
            declaration,
            route,
            tried_addresses=tried_addresses,
            allowed_addresses=allowed_addresses,
        )
        admission, is_share_short = self._placement.place(attempt)
        until = attempt.now + limit_s
        while admission is None and is_share_short and not self.epochs.fence.is_suspended():
            left_s = until - self._environment.clock.monotonic()
            if left_s < _MIN_WAIT_S or not await self.lending.wait(left_s):
                break
            now = self._environment.clock.monotonic()
            attempt = replace(attempt, now=now, is_counted=True)
            admission, is_share_short = self._placement.place(attempt)
        return self._recorder.record(attempt, admission, is_share_short=is_share_short)

    def region_order(
        self, *, service: str, declaration: Declaration, nearest_region: str
    ) -> list[str]:
        """Return the regions that a caller should use, the preferred one first.

        :param nearest_region: the region nearest to the caller.
        """
        return self._region_selector.order_for_caller(
            plan=self._plans.get(declaration), service=service, nearest=nearest_region
        )

    def has_share(self, service: str) -> bool:
        """Return whether this host may run requests of ``service`` in any region.

        This is false on a host that started while the store was down, or whose shares await
        confirmation.
        """
        try:
            plan = self._plans.get(self._tracker.accepted())
        except NotReadyError:
            return False
        return any(
            self.limiter.has_share(plan.cost(service=service, region=region), region=region)
            and not self.epochs.fence.is_region_suspended(region)
            for region in plan.regions(service=service)
        )

    def _attempt(
        self,
        service: str,
        declaration: Declaration,
        route: Route | None,
        *,
        tried_addresses: frozenset[str],
        allowed_addresses: frozenset[str] | None,
    ) -> Attempt:
        if service not in declaration.services:
            raise UnknownServiceError(detail=f'there is no service {service}')
        return Attempt(
            plan=self._plans.get(declaration),
            service=service,
            route=route,
            tried_addresses=tried_addresses,
            allowed_addresses=allowed_addresses,
            now=self._environment.clock.monotonic(),
        )

    async def run(self) -> None:
        """Run share epochs, lending, health probes and weights until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.epochs.run())
            tasks.create_task(self.lending.run())
            tasks.create_task(self._prober.run())
            tasks.create_task(self.weights.fetch_from_peer())
            while True:
                self.step()
                await asyncio.sleep(_STEP_INTERVAL_S)

    def step(self) -> None:
        """Evaluate region health, adjust the weights and borrow in advance, once."""
        self.pickers.update_hosts()
        try:
            plan = self._plans.get(self._tracker.accepted())
        except NotReadyError:
            return
        failed = self._region_monitor.step(plan=plan, now=self._environment.clock.monotonic())
        self.weights.step(plan=plan, failed_by_service=failed)
        for service in plan.declaration.services:
            self._placement.replenish(plan, service=service)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'shares': self.epochs.dump(),
            'fence': self.epochs.fence.dump(),
            'lending': self.lending.dump(),
            'weights': self.weights.dump(),
            'failed': self._region_monitor.dump(),
            'targets': self.pickers.dump(),
        }

    def _on_change(self) -> None:
        try:
            self.pickers.update(self._plans.get(self._tracker.accepted()))
        except NotReadyError:
            return
