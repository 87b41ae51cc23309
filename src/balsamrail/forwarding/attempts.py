"""Sends one request to targets until one answers."""

import asyncio
import random
from itertools import count

from tornado.httputil import HTTPHeaders

from balsamrail.environment import Environment
from balsamrail.errors import (
    DeadlineExpiredError,
    NoTargetError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    RequestError,
)
from balsamrail.forwarding.answer import Answer
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.collaborators import Admissions, Admitted
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.crash_register import CrashRegister
from balsamrail.forwarding.hop_headers import passed_on
from balsamrail.forwarding.outgoing import Outgoing
from balsamrail.forwarding.plan import Plan
from balsamrail.forwarding.pool_full_error import PoolFullError
from balsamrail.forwarding.retry_budget import RetryBudget
from balsamrail.forwarding.shed_error import ShedError
from balsamrail.steering.attempt_result import AttemptResult

_MS_IN_S = 1_000
_FIRST_PAUSE_S = 0.01
_LONGEST_PAUSE_S = 0.2
_FAILED_STATUSES = frozenset((502, 503, 504))
_OWN_HEADERS = frozenset(('balsamrail-passed-on', 'content-length', 'deadline-ms', 'request-id'))


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
        tried: set[str] = set()
        may_have_run = False
        failure: AttemptError | None = None
        pause_s = _FIRST_PAUSE_S
        while True:
            try:
                admission = self._admit(plan, tried)
            except NotRunError as refusal:
                raise _not_admitted(refusal, failure, may_have_run=may_have_run)
            try:
                # A kept connection that failed leaves the others of its age in doubt.
                fresh = not plan.route.idempotent or (failure is not None and failure.reused)
                return await self._attempt(plan, admission, budget, fresh=fresh)
            except AttemptError as error:
                failure = error
            may_have_run = may_have_run or failure.may_have_run
            if not failure.reused:
                tried.add(admission.target.address)
            pause = self._random.uniform(0, pause_s)
            pause_s = min(_LONGEST_PAUSE_S, pause_s * 2)
            if not self._is_sent_again(plan, failure, budget, pause):
                raise self._gave_up(plan, failure, may_have_run=may_have_run)
            self._environment.metrics.count('retries')
            await asyncio.sleep(pause)

    def _is_sent_again(
        self,
        plan: Plan,
        failure: AttemptError,
        budget: RetryBudget,
        pause: float,
    ) -> bool:
        if failure.may_have_run and not plan.route.idempotent:
            return False
        if self._environment.clock.monotonic() + pause >= plan.deadline:
            return False
        return budget.take_retry()

    def _admit(self, plan: Plan, tried: set[str]) -> Admitted:
        while True:
            if self._environment.clock.monotonic() >= plan.deadline:
                raise DeadlineExpiredError(detail='the deadline passed before a target was asked')
            self._crashes.check(plan.fingerprint, limit=plan.service.crash_limit)
            admission = self._router.admit(
                service=plan.request.service,
                declaration=plan.declaration,
                route=plan.route,
                tried=frozenset(tried),
            )
            address = admission.target.address
            if address in tried:
                admission.close(AttemptResult.cancelled)
                raise NoTargetError(detail='every target was tried')
            if self._crashes.begin(plan.fingerprint, target=address):
                return admission
            admission.close(AttemptResult.cancelled)
            tried.add(address)

    async def _attempt(
        self,
        plan: Plan,
        admission: Admitted,
        budget: RetryBudget,
        *,
        fresh: bool,
    ) -> Answer:
        started = self._environment.clock.monotonic()
        result = AttemptResult.cancelled
        try:
            answer = await self._exchange(plan, admission, budget, fresh=fresh)
            result = _result_of(plan, answer)
        except AttemptError as error:
            result = await self._failure_result(plan, admission.target.address, error)
            raise
        finally:
            self._end(plan, admission, result, started)
        if result is AttemptResult.refused:
            raise _refusal(answer)
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
            self._crashes.report_crash(service=plan.request.service, target=address)
            return AttemptResult.crashed
        # An upstream may close a kept connection at any time; that is no fault of the target.
        return AttemptResult.cancelled if error.reused else AttemptResult.failed

    async def _exchange(
        self,
        plan: Plan,
        admission: Admitted,
        budget: RetryBudget,
        *,
        fresh: bool,
    ) -> Answer:
        now = self._environment.clock.monotonic()
        request_id = f'{self._environment.incarnation}-{next(self._numbers)}'
        # A kept connection that went silent is given up early enough to ask another target.
        halfway = now + (plan.deadline - now) / 2
        is_cut_early = not fresh and budget.has_retry()
        return await self._pool.exchange(
            target=admission.target,
            outgoing=self._outgoing(plan, admission, request_id, now),
            fresh=fresh,
            deadline=plan.deadline,
            reused_deadline=halfway if is_cut_early else None,
        )

    def _outgoing(
        self,
        plan: Plan,
        admission: Admitted,
        request_id: str,
        now: float,
    ) -> Outgoing:
        headers: HTTPHeaders = passed_on(plan.request.headers, without=_OWN_HEADERS)
        headers['Deadline-Ms'] = str(max(1, int((plan.deadline - now) * _MS_IN_S)))
        headers['Request-Id'] = request_id
        headers.setdefault('Host', admission.target.address)
        return Outgoing(
            method=plan.request.method,
            path=plan.request.path,
            headers=headers,
            body=plan.request.body,
            echoed_id=request_id if plan.service.echoes_request_id else None,
        )

    def _gave_up(self, plan: Plan, failure: AttemptError, *, may_have_run: bool) -> RequestError:
        if may_have_run:
            return OutcomeUnknownError(detail=failure.detail)
        if isinstance(failure, ShedError):
            return _shed(failure)
        if self._environment.clock.monotonic() >= plan.deadline:
            return DeadlineExpiredError(detail=failure.detail)
        return NoTargetError(detail=failure.detail)


def _not_admitted(
    refusal: NotRunError,
    failure: AttemptError | None,
    *,
    may_have_run: bool,
) -> RequestError:
    if may_have_run:
        return OutcomeUnknownError(detail=f'an attempt failed, then: {refusal.detail}')
    # The time that a target named is worth more than that no further target is left.
    return _shed(failure) if isinstance(failure, ShedError) else refusal


def _shed(failure: ShedError) -> OverloadedError:
    return OverloadedError(detail=failure.detail, retry_after_s=failure.retry_after_s)


def _result_of(plan: Plan, answer: Answer) -> AttemptResult:
    if answer.status in plan.service.refusal_statuses:
        return AttemptResult.refused
    return AttemptResult.failed if answer.status in _FAILED_STATUSES else AttemptResult.ok


def _refusal(answer: Answer) -> ShedError:
    text = answer.headers.get('Retry-After', '')
    return ShedError(
        detail=f'the target refused the request with status {answer.status}',
        retry_after_s=int(text) if text.isascii() and text.isdigit() and len(text) < 5 else 1,
    )
