"""Sends a request to targets and retries failed attempts."""

import asyncio
import random
from itertools import count

from balsamrail.environment import Environment
from balsamrail.errors import DeadlineExpiredError, NoTargetError, NotRunError
from balsamrail.exchange.crash_registry import CrashRegistry
from balsamrail.exchange.response import Response
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.attempt_outcomes import (
    admission_error,
    attempt_result_of,
    final_error,
    shed_error_of,
)
from balsamrail.forwarding.collaborators import Admission, AdmissionRouter
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.plan import Plan
from balsamrail.forwarding.pool_full_error import PoolFullError
from balsamrail.forwarding.retry_budget import RetryBudget
from balsamrail.forwarding.retry_state import RetryState
from balsamrail.forwarding.upstream_request import make_upstream_request
from balsamrail.steering.attempt_result import AttemptResult

_INITIAL_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.2
# One round trip between regions plus the lender's processing; longer waits would build up a queue.
_MAX_BORROWING_S = 0.15


class RequestSender:
    """Admits a request, sends it and decides after each failure whether to retry.

    A request is retried only if it is idempotent or provably did not run, and only within the
    retry budget and the deadline.
    """

    __slots__ = (
        '_attempt_numbers',
        '_budget_by_service',
        '_crashes',
        '_environment',
        '_pool',
        '_random',
        '_router',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        router: AdmissionRouter,
        pool: ConnectionPool,
        crashes: CrashRegistry,
    ) -> None:
        self._environment = environment
        self._router = router
        self._pool = pool
        self._crashes = crashes
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._attempt_numbers = count(1)
        self._random = random.Random()

    async def run(self, plan: Plan) -> Response:
        """Return the complete response of a target.

        :raises NotRunError: if the request provably did not run.
        :raises OutcomeUnknownError: if it may have run.
        :raises TargetCrashingRequestError: if requests with its fingerprint crashed too many targets.
        """
        budget = self._budget_by_service.setdefault(plan.request.service, RetryBudget())
        budget.deposit()
        retry_state = RetryState()
        backoff_limit_s = _INITIAL_BACKOFF_S
        while True:
            try:
                admission = await self._admit(plan, retry_state)
            except NotRunError as refusal:
                raise admission_error(refusal, retry_state)
            try:
                return await self._attempt(plan, admission, budget, retry_state)
            except AttemptError as error:
                retry_state.record_failure(error, address=admission.target.address)
            backoff_s = self._random.uniform(0, backoff_limit_s)
            backoff_limit_s = min(_MAX_BACKOFF_S, backoff_limit_s * 2)
            if not self._may_retry(plan, retry_state, budget, backoff_s):
                raise final_error(plan, retry_state, now=self._environment.clock.monotonic())
            self._environment.metrics.count('retries')
            await asyncio.sleep(backoff_s)

    def _may_retry(
        self,
        plan: Plan,
        retry_state: RetryState,
        budget: RetryBudget,
        backoff_s: float,
    ) -> bool:
        if retry_state.may_have_run and not plan.route.idempotent:
            return False
        if self._environment.clock.monotonic() + backoff_s >= plan.deadline:
            return False
        return budget.try_withdraw()

    async def _admit(self, plan: Plan, retry_state: RetryState) -> Admission:
        while True:
            remaining_s = plan.deadline - self._environment.clock.monotonic()
            if remaining_s <= 0:
                raise DeadlineExpiredError(detail='the deadline passed before an attempt was made')
            self._crashes.check(plan.fingerprint, limit=plan.service.crash_limit)
            admission = await self._router.admit_with_borrowing(
                service=plan.request.service,
                declaration=plan.declaration,
                route=plan.route,
                tried_addresses=frozenset(retry_state.tried),
                limit_s=min(remaining_s, _MAX_BORROWING_S),
            )
            address = admission.target.address
            if address in retry_state.tried:
                admission.close(AttemptResult.cancelled)
                raise NoTargetError(detail='all targets were tried')
            if self._crashes.begin(plan.fingerprint, target=address):
                return admission
            admission.close(AttemptResult.cancelled)
            retry_state.tried.add(address)

    async def _attempt(
        self,
        plan: Plan,
        admission: Admission,
        budget: RetryBudget,
        retry_state: RetryState,
    ) -> Response:
        started = self._environment.clock.monotonic()
        result = AttemptResult.cancelled
        try:
            response = await self._exchange(plan, admission, budget, retry_state)
            result = attempt_result_of(plan, response)
        except AttemptError as error:
            result = await self._result_of_failure(plan, admission.target.address, error)
            raise
        finally:
            self._finish_attempt(plan, admission, result, started)
        if result is AttemptResult.refused:
            raise shed_error_of(response)
        return response

    def _finish_attempt(
        self,
        plan: Plan,
        admission: Admission,
        result: AttemptResult,
        started: float,
    ) -> None:
        latency_s = self._environment.clock.monotonic() - started
        self._crashes.end(plan.fingerprint, target=admission.target.address)
        admission.close(result, latency_s=latency_s)
        self._environment.metrics.record('upstream', latency_s)
        self._environment.metrics.count(f'attempts_{result.value}')

    async def _result_of_failure(
        self,
        plan: Plan,
        address: str,
        error: AttemptError,
    ) -> AttemptResult:
        if isinstance(error, PoolFullError):
            return AttemptResult.cancelled
        if error.timed_out or not error.may_have_run:
            return AttemptResult.failed
        if await self._pool.refuses_connections(address):
            error.target_crashed = True
            self._crashes.report_crash(service=plan.request.service, target=address)
            return AttemptResult.crashed
        # An upstream may close an idle connection at any time; the target has not failed.
        return AttemptResult.cancelled if error.reused else AttemptResult.failed

    async def _exchange(
        self,
        plan: Plan,
        admission: Admission,
        budget: RetryBudget,
        retry_state: RetryState,
    ) -> Response:
        now = self._environment.clock.monotonic()
        fresh = not plan.route.idempotent or retry_state.needs_fresh_connection()
        request_id = f'{self._environment.incarnation}-{next(self._attempt_numbers)}'
        # An unresponsive reused connection times out early enough to retry on another target.
        halfway = now + (plan.deadline - now) / 2
        has_early_deadline = not fresh and budget.has_balance()
        return await self._pool.exchange(
            target=admission.target,
            upstream_request=make_upstream_request(
                plan,
                address=admission.target.address,
                request_id=request_id,
                now=now,
            ),
            fresh=fresh,
            deadline=plan.deadline,
            reused_deadline=halfway if has_early_deadline else None,
        )
