"""Where a request goes."""

from collections.abc import Callable
from functools import partial

from balsamrail.environment import Environment
from balsamrail.steering.admission import Admission
from balsamrail.steering.attempt import Attempt
from balsamrail.steering.attempt_result import AttemptResult
from balsamrail.steering.pickers import Pickers
from balsamrail.steering.plan import Plan
from balsamrail.steering.region_choice import RegionChoice
from balsamrail.steering.share_fence import ShareFence
from balsamrail.steering.share_gate import ShareGate
from balsamrail.steering.share_lending import ShareLending
from balsamrail.steering.spill_limiter import SpillLimiter

_FAILING_BELOW = 0.5


class Placement:
    """Tries the regions of an attempt in turn, and takes share and a target in the first it can.

    :param gate: holds the shares that the attempt needs.
    :param fence: says whether these shares may be used.
    :param lending: is told what was missing.
    """

    __slots__ = (
        '_choice',
        '_environment',
        '_fence',
        '_gate',
        '_lending',
        '_pickers',
        '_spill_by_service',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        choice: RegionChoice,
        pickers: Pickers,
        gate: ShareGate,
        fence: ShareFence,
        lending: ShareLending,
    ) -> None:
        self._environment = environment
        self._choice = choice
        self._pickers = pickers
        self._gate = gate
        self._fence = fence
        self._lending = lending
        self._spill_by_service: dict[str, SpillLimiter] = {}

    def place(self, attempt: Attempt) -> tuple[Admission | None, bool]:
        """Return the admission if a region gives one, and whether share was short."""
        spill = self._count(attempt)
        is_short = False
        for region, is_spill in self._choice.for_request(
            plan=attempt.plan,
            service=attempt.service,
            own=self._environment.settings.region,
            is_failing=partial(self._is_failing, attempt),
        ):
            # A further try of a request that already spilled over is not counted again.
            counts = is_spill and not attempt.tried
            if counts and not spill.allows(now=attempt.now, cap=attempt.cap):
                is_short = True
                continue
            if self._is_short(attempt, region=region):
                is_short = True
                continue
            admission = self._try_targets(attempt, region=region)
            if admission is not None:
                if counts:
                    spill.spill(now=attempt.now, cap=attempt.cap)
                return admission, False
        return None, is_short

    def top_up(self, plan: Plan, *, service: str) -> None:
        """Borrow in advance for the region of the next request and for those in use."""
        order = self._choice.for_request(
            plan=plan,
            service=service,
            own=self._environment.settings.region,
            is_failing=lambda region: False,
        )
        for region, is_spill in order:
            if not is_spill or self._gate.is_used(service=service, region=region):
                cost = plan.cost(service=service, region=region)
                self._request(self._gate.low_water(cost, region=region))

    def _count(self, attempt: Attempt) -> SpillLimiter:
        spill = self._spill_by_service.setdefault(attempt.service, SpillLimiter())
        if not attempt.tried and not attempt.counted:
            spill.count(now=attempt.now, cap=attempt.cap)
        return spill

    def _is_short(self, attempt: Attempt, *, region: str) -> bool:
        # The share of a link to another region is held with the own region.
        if any(map(self._fence.is_closed, (region, self._environment.settings.region))):
            return True
        shortage = self._gate.shortage(attempt, region=region)
        self._request(shortage)
        return bool(shortage)

    def _is_failing(self, attempt: Attempt, region: str) -> bool:
        """Return whether most targets fail, of which only half are ejected."""
        targets = attempt.plan.targets(service=attempt.service, region=region)
        picker = self._pickers.get(service=attempt.service, region=region)
        return picker.usable_fraction(targets, now=attempt.now) < _FAILING_BELOW

    def _try_targets(self, attempt: Attempt, *, region: str) -> Admission | None:
        picker = self._pickers.get(service=attempt.service, region=region)
        candidates = self._pickers.candidates(
            plan=attempt.plan, service=attempt.service, region=region
        )
        addresses = [address for address in candidates if attempt.allows(address)]
        # Slots that no other host uses come first, however old the reports of load are.
        dealt = self._gate.dealt(addresses, service=attempt.service, region=region)
        target = picker.pick(dealt, now=attempt.now) or picker.pick(addresses, now=attempt.now)
        if target is None:
            return None
        cost = self._gate.take(attempt, region=region, address=target.address)
        self._request(self._gate.low_water(cost, region=region))
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
        self._gate.give_back(cost, region=region)
        self._environment.metrics.record('attempt', latency_s)
        if finish(result, now=self._environment.clock.monotonic()):
            self._environment.metrics.count('ejections')
            self._environment.log.event('target_ejected', region=region)
