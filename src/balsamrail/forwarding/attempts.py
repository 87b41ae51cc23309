"""Sends one request to targets until one answers."""

import asyncio
import random
from itertools import count

from balsamrail.environment import Environment
from balsamrail.errors import DeadlineExpiredError, NoTargetError, NotRunError
from balsamrail.exchange.answer import Answer
from balsamrail.exchange.crash_register import CrashRegister
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.collaborators import Admissions, Admitted
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.outgoing import make_outgoing
from balsamrail.forwarding.plan import Plan
from balsamrail.forwarding.pool_full_error import PoolFullError
from balsamrail.forwarding.progress import Progress
from balsamrail.forwarding.retry_budget import RetryBudget
from balsamrail.forwarding.verdicts import final_error, not_admitted, refusal_of, result_of
from balsamrail.steering.attempt_result import AttemptResult

_FIRST_PAUSE_S = 0.01
_LONGEST_PAUSE_S = 0.2
# Two one-way delays between regions and a lender's answer; longer waits would form a queue.
_LONGEST_BORROWING_S = 0.15


class Attempts:
    """Admits a request, sends it and decides after each failure whether it is sent again.

    It is sent again only if it is idempotent or provably did not run, and only within the retry
    budget and the deadline.
    """

    __slots__ = (
        '_budget_by_service',
        '_crashes',
        '_environment',
        '_numbers',
        '_pool',
        '_random',
        '_router',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        router: Admissions,
        pool: ConnectionPool,
        crashes: CrashRegister,
    ) -> None:
        self._environment = environment
        self._router = router
        self._pool = pool
        self._crashes = crashes
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._numbers = count(1)
        self._random = random.Random()

    async def run(self, plan: Plan) -> Answer:
        """Return the complete answer of a target.

        :raises NotRunError: if the request provably did not run.
        :raises OutcomeUnknownError: if it may have run.
        :raises CrashesTargetsError: if it crashed too many targets.
        """
        budget = self._budget_by_service.setdefault(plan.request.service, RetryBudget())
        budget.add_first_try()
        progress = Progress()
        pause_s = _FIRST_PAUSE_S
        while True:
            try:
                admission = await self._admit(plan, progress)
            except NotRunError as refusal:
                raise not_admitted(refusal, progress)
            try:
                return await self._attempt(plan, admission, budget, progress)
            except AttemptError as error:
                progress.note(error, address=admission.target.address)
            pause = self._random.uniform(0, pause_s)
            pause_s = min(_LONGEST_PAUSE_S, pause_s * 2)
            if not self._is_sent_again(plan, progress, budget, pause):
                raise final_error(plan, progress, now=self._environment.clock.monotonic())
            self._environment.metrics.count('retries')
            await asyncio.sleep(pause)

    def _is_sent_again(
        self,
        plan: Plan,
        progress: Progress,
        budget: RetryBudget,
        pause: float,
    ) -> bool:
        if progress.may_have_run and not plan.route.idempotent:
            return False
        if self._environment.clock.monotonic() + pause >= plan.deadline:
            return False
        return budget.take_retry()

    async def _admit(self, plan: Plan, progress: Progress) -> Admitted:
        while True:
            left_s = plan.deadline - self._environment.clock.monotonic()
            if left_s <= 0:
                raise DeadlineExpiredError(detail='the deadline passed before a target was asked')
            self._crashes.check(plan.fingerprint, limit=plan.service.crash_limit)
            admission = await self._router.admit_with_borrowing(
                service=plan.request.service,
                declaration=plan.declaration,
                route=plan.route,
                tried_addresses=frozenset(progress.tried),
                limit_s=min(left_s, _LONGEST_BORROWING_S),
            )
            address = admission.target.address
            if address in progress.tried:
                admission.close(AttemptResult.cancelled)
                raise NoTargetError(detail='every target was tried')
            if self._crashes.begin(plan.fingerprint, target=address):
                return admission
            admission.close(AttemptResult.cancelled)
            progress.tried.add(address)

    async def _attempt(
        self,
        plan: Plan,
        admission: Admitted,
        budget: RetryBudget,
        progress: Progress,
    ) -> Answer:
        started = self._environment.clock.monotonic()
        result = AttemptResult.cancelled
        try:
            answer = await self._exchange(plan, admission, budget, progress)
            result = result_of(plan, answer)
        except AttemptError as error:
            result = await self._failure_result(plan, admission.target.address, error)
            raise
        finally:
            self._end(plan, admission, result, started)
        if result is AttemptResult.refused:
            raise refusal_of(answer)
        return answer

    def _end(
        self,
        plan: Plan,
        admission: Admitted,
        result: AttemptResult,
        started: float,
    ) -> None:
        latency_s = self._environment.clock.monotonic() - started
        self._crashes.end(plan.fingerprint, target=admission.target.address)
        admission.close(result, latency_s=latency_s)
        self._environment.metrics.record('upstream', latency_s)
        self._environment.metrics.count(f'attempts_{result.value}')

    async def _failure_result(
        self,
        plan: Plan,
        address: str,
        error: AttemptError,
    ) -> AttemptResult:
        if isinstance(error, PoolFullError):
            return AttemptResult.cancelled
        if error.timed_out or not error.may_have_run:
            return AttemptResult.failed
        if await self._pool.refuses(address):
            error.target_crashed = True
            self._crashes.report_crash(service=plan.request.service, target=address)
            return AttemptResult.crashed
        # An upstream may close a kept connection at any time; that is no fault of the target.
        return AttemptResult.cancelled if error.reused else AttemptResult.failed

    async def _exchange(
        self,
        plan: Plan,
        admission: Admitted,
        budget: RetryBudget,
        progress: Progress,
    ) -> Answer:
        now = self._environment.clock.monotonic()
        fresh = not plan.route.idempotent or progress.needs_fresh()
        request_id = f'{self._environment.incarnation}-{next(self._numbers)}'
        # A kept connection that went silent is given up early enough to ask another target.
        halfway = now + (plan.deadline - now) / 2
        is_cut_early = not fresh and budget.has_retry()
        return await self._pool.exchange(
            target=admission.target,
            outgoing=make_outgoing(
                plan,
                address=admission.target.address,
                request_id=request_id,
                now=now,
            ),
            fresh=fresh,
            deadline=plan.deadline,
            reused_deadline=halfway if is_cut_early else None,
        )
