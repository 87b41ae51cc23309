"""Selection of a region and a target for an attempt."""

from collections.abc import Callable
from functools import partial

from balsamrail.environment import Environment
from balsamrail.steering.admission import Admission
from balsamrail.steering.attempt import Attempt
from balsamrail.steering.attempt_result import AttemptResult
from balsamrail.steering.region_selector import RegionSelector
from balsamrail.steering.routing_plan import RoutingPlan
from balsamrail.steering.share_fence import ShareFence
from balsamrail.steering.share_lending import ShareLending
from balsamrail.steering.share_limiter import ShareLimiter
from balsamrail.steering.spillover_limiter import SpilloverLimiter
from balsamrail.steering.target_pickers import TargetPickers

_FAILING_BELOW_FRACTION = 0.5


class Placement:
    """Tries the candidate regions in order and acquires share and a target in the first possible.

    :param limiter: checks and counts the shares that the attempt needs.
    :param fence: tells whether these shares may be used.
    :param lending: receives the shortages, in order to borrow.
    """

    __slots__ = (
        '_environment',
        '_fence',
        '_lending',
        '_limiter',
        '_pickers',
        '_region_selector',
        '_spill_by_service',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        region_selector: RegionSelector,
        pickers: TargetPickers,
        limiter: ShareLimiter,
        fence: ShareFence,
        lending: ShareLending,
    ) -> None:
        self._environment = environment
        self._region_selector = region_selector
        self._pickers = pickers
        self._limiter = limiter
        self._fence = fence
        self._lending = lending
        self._spill_by_service: dict[str, SpilloverLimiter] = {}

    def place(self, attempt: Attempt) -> tuple[Admission | None, bool]:
        """Return the admission, ``None`` if no region admits it, and whether share was short."""
        spill = self._count_arrival(attempt)
        is_share_short = False
        for region, is_spillover in self._region_selector.candidates_for_request(
            plan=attempt.plan,
            service=attempt.service,
            own=self._environment.settings.region,
            is_failing=partial(self._is_failing, attempt),
        ):
            # A retry of a request that already spilled over is not counted again.
            is_counted = is_spillover and not attempt.tried_addresses
            if is_counted and not spill.allows(now=attempt.now, cap=attempt.cap):
                is_share_short = True
                continue
            if self._is_share_short(attempt, region=region):
                is_share_short = True
                continue
            admission = self._try_targets(attempt, region=region)
            if admission is not None:
                if is_counted:
                    spill.spill(now=attempt.now, cap=attempt.cap)
                return admission, False
        return None, is_share_short

    def replenish(self, plan: RoutingPlan, *, service: str) -> None:
        """Borrow in advance for the preferred region and for spillover regions in use."""
        order = self._region_selector.candidates_for_request(
            plan=plan,
            service=service,
            own=self._environment.settings.region,
            is_failing=lambda region: False,
        )
        for region, is_spillover in order:
            if not is_spillover or self._limiter.is_used(service=service, region=region):
                cost = plan.cost(service=service, region=region)
                self._request(self._limiter.replenishment(cost, region=region))

    def _count_arrival(self, attempt: Attempt) -> SpilloverLimiter:
        spill = self._spill_by_service.setdefault(attempt.service, SpilloverLimiter())
        if not attempt.tried_addresses and not attempt.is_counted:
            spill.count_arrival(now=attempt.now, cap=attempt.cap)
        return spill

    def _is_share_short(self, attempt: Attempt, *, region: str) -> bool:
        # The share of a link to another region belongs to the ledger of the own region.
        if any(map(self._fence.is_region_suspended, (region, self._environment.settings.region))):
            return True
        shortage = self._limiter.shortage(attempt, region=region)
        self._request(shortage)
        return bool(shortage)

    def _is_failing(self, attempt: Attempt, region: str) -> bool:
        """Return whether most targets fail; ejection covers at most half of them."""
        targets = attempt.plan.targets(service=attempt.service, region=region)
        picker = self._pickers.get(service=attempt.service, region=region)
        return picker.usable_fraction(targets, now=attempt.now) < _FAILING_BELOW_FRACTION

    def _try_targets(self, attempt: Attempt, *, region: str) -> Admission | None:
        picker = self._pickers.get(service=attempt.service, region=region)
        candidates = self._pickers.candidates(
            plan=attempt.plan, service=attempt.service, region=region
        )
        addresses = [address for address in candidates if attempt.allows(address)]
        # Slots assigned to this host alone are preferred, since that does not depend on the age of
        # load reports.
        preferred = self._limiter.preferred(addresses, service=attempt.service, region=region)
        target = picker.pick(preferred, now=attempt.now) or picker.pick(addresses, now=attempt.now)
        if target is None:
            return None
        cost = self._limiter.acquire(attempt, region=region, address=target.address)
        self._request(self._limiter.replenishment(cost, region=region))
        release = partial(
            self._release,
            finish=partial(picker.finish, picker.start(target.address)),
            cost=cost,
            region=region,
        )
        return Admission(target=target, region=region, release=release)

    def _request(self, shortage: dict[str, dict[str, int]]) -> None:
        for region, missing in shortage.items():
            self._lending.request(region, missing)

    def _release(
        self,
        result: AttemptResult,
        latency_s: float,
        *,
        finish: Callable[..., bool],
        cost: dict[str, int],
        region: str,
    ) -> None:
        self._limiter.release(cost, region=region)
        self._environment.metrics.record('attempt', latency_s)
        if finish(result, now=self._environment.clock.monotonic()):
            self._environment.metrics.count('ejections')
            self._environment.log.event('target_ejected', region=region)
