"""Runs one request, with retries at other targets."""

import math
from collections.abc import Set

from balsamrail.delivery.attempt_record import AttemptRecord
from balsamrail.delivery.crash_detector import CrashDetector
from balsamrail.delivery.delivery_plan import DeliveryPlan
from balsamrail.delivery.delivery_planner import DeliveryPlanner
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.delivery.request_fingerprint import RequestFingerprint
from balsamrail.delivery.shutdown_deadline import ShutdownDeadline
from balsamrail.delivery.target_exchange import TargetExchange
from balsamrail.delivery.target_response import TargetResponse
from balsamrail.environment import Environment
from balsamrail.errors import (
    ExchangeError,
    NoTargetError,
    OutcomeUnknownError,
    OverloadedError,
    RequestError,
    TargetFailedError,
)
from balsamrail.membership.member import Member
from balsamrail.placement.exchange_sizes import ExchangeSizes
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.target_selector import TargetSelector
from balsamrail.placement.target_state import TargetState
from balsamrail.proxying.request_proxy import RequestProxy

# Connection failures do not count as attempts, so they have a limit of their own.
_MAX_UNREACHABLE = 6
_RETRY_AFTER_S = 0.1


class RequestExecutor:
    """Runs one request of a caller.

    A retry goes to another target, and only if the request provably did not run or is idempotent,
    within the attempt limit of the route and the retry budget. Each attempt uses the manifest in
    force when it is sent. While this host does not reach the targets, the request is sent through
    another host.

    :param proxy: sends the request through another host.
    """

    __slots__ = (
        '_crash_detector',
        '_deadline',
        '_environment',
        '_exchange',
        '_fingerprint',
        '_is_idempotent',
        '_plan',
        '_planner',
        '_proxy',
        '_record',
        '_request',
        '_shutdown_deadline',
        '_sizes',
        '_target_selector',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        exchange: TargetExchange,
        target_selector: TargetSelector,
        crashes: CrashDetector,
        sizes: ExchangeSizes,
        planner: DeliveryPlanner,
        shutdown_deadline: ShutdownDeadline,
        plan: DeliveryPlan,
        request: EntryRequest,
        proxy: RequestProxy,
    ) -> None:
        caller_timeout_s = (
            request.caller_timeout_s if request.caller_timeout_s is not None else math.inf
        )
        self._environment = environment
        self._exchange = exchange
        self._target_selector = target_selector
        self._crash_detector = crashes
        self._sizes = sizes
        self._planner = planner
        self._shutdown_deadline = shutdown_deadline
        self._plan = plan
        # A new manifest that makes the route idempotent does not permit retries of a request that
        # is already running.
        self._is_idempotent = plan.route.is_idempotent
        self._request = request
        self._deadline = request.arrived_at + min(caller_timeout_s, plan.route.timeout_s)
        self._fingerprint = RequestFingerprint(request=request)
        self._proxy = proxy
        self._record = AttemptRecord()

    async def run(self) -> HttpResponse:
        """Return the response of a target.

        :raises RequestError: if no target responded.
        """
        try:
            async with self._shutdown_deadline.applied():
                response = await self._run()
        except RequestError as error:
            ambiguous = self._record.ambiguous
            reported = error if ambiguous is None else _to_request_error(ambiguous)
            self._log(status=reported.status, code=reported.code, reason=reported.detail)
            raise reported
        self._log(status=response.status, code='answered', reason='')
        return response

    async def _run(self) -> HttpResponse:
        while True:
            attempted_before = len(self._record.attempted)
            match self._choose():
                case TargetState() as state:
                    outcome = await self._attempt(state)
                case Member() as member:
                    outcome = await self._proxy.attempt(
                        self._request,
                        member,
                        self._record,
                        attempts_left=self._attempts_left(),
                        is_idempotent=self._is_idempotent,
                        deadline=self._deadline,
                    )
            if isinstance(outcome, HttpResponse):
                return outcome
            if outcome.may_have_run:
                self._record.ambiguous = outcome
            is_attempt = len(self._record.attempted) > attempted_before
            if not self._may_retry(outcome, is_attempt=is_attempt):
                raise _to_request_error(outcome)

    def _choose(self) -> TargetState | Member:
        self._shutdown_deadline.check(self._deadline)
        self._refresh_plan()
        services = [part.service for part in self._plan.route.parts]
        self._crash_detector.check(self._fingerprint, services=services)
        member = self._proxy.host_before_targets(self._request, self._plan, self._record)
        if member is not None:
            return member
        choice = self._proxy.rejection_without_paths(self._record) or self._select()
        if isinstance(choice, TargetState):
            return choice
        member = self._proxy.host_after(choice, self._request, self._plan, self._record)
        if member is not None:
            return member
        error_type = NoTargetError if choice.reason == 'no_target' else OverloadedError
        retry_after_s = choice.jittered_retry_after(self._request.request_id)
        raise error_type(detail=choice.reason, retry_after_s=retry_after_s)

    def _select(self) -> TargetState | Rejection:
        return self._target_selector.select(
            self._plan.route,
            service=self._plan.placement_key.service,
            object_key=self._plan.placement_key.object_key,
            tried=self._tried(),
            now=self._now(),
            prefers_own_zone=self._sizes.are_large(self._plan.route.name),
            passed_over=self._record.passed_over,
            waited_s=self._now() - self._request.arrived_at,
            left_s=self._deadline - self._now(),
        )

    async def _attempt(self, state: TargetState) -> HttpResponse | ExchangeError:
        target_id = state.entry.target_id
        counted = self._target_selector.limits_of(state, now=self._now())
        self._record.choice_inputs = state.inputs(
            self._plan.placement_key.object_key, now=self._now()
        )
        try:
            response = await self._exchange.send(
                self._request,
                state,
                route=self._plan.route,
                object_key=self._plan.placement_key.object_key,
                fresh_only=not self._is_idempotent,
                deadline=self._deadline,
                recheck=lambda: self._recheck(state, counted),
            )
        except ExchangeError as error:
            record = self._record
            (record.attempted if error.may_have_run else record.unreachable).append(target_id)
            if error.may_have_run and not error.has_timed_out:
                self._crash_detector.record_disconnect(self._fingerprint, state)
            return error
        self._record.attempted.append(target_id)
        if not response.is_final:
            return _failure_of(response)
        self._crash_detector.record_response(self._fingerprint, service=state.entry.service)
        self._sizes.note(
            self._plan.route.name,
            sent_bytes=len(self._request.body),
            received_bytes=len(response.http.body),
        )
        return response.http

    def _refresh_plan(self) -> None:
        self._plan = self._planner.refreshed(self._plan, self._request)
        self._is_idempotent = self._is_idempotent and self._plan.route.is_idempotent

    def _recheck(
        self, state: TargetState, counted: Set[ExclusionReason]
    ) -> ExclusionReason | None:
        if not self._shutdown_deadline.admits(self._deadline):
            return ExclusionReason.host_leaving
        self._refresh_plan()
        if state.entry.service != self._plan.placement_key.service:
            return ExclusionReason.moved
        return self._target_selector.confirm(
            self._plan.route, state, counted=counted, now=self._now()
        )

    def _may_retry(self, failure: ExchangeError, *, is_attempt: bool) -> bool:
        if not is_attempt and not failure.may_have_run:
            return len(self._record.unreachable) < _MAX_UNREACHABLE
        if failure.may_have_run and not self._is_idempotent:
            return False
        if self._now() >= self._deadline or self._attempts_left() <= 0:
            return False
        return self._plan.budget.try_acquire(now=self._now())

    def _attempts_left(self) -> int:
        handover = self._request.handover
        allowed = self._plan.route.max_attempts
        if handover is not None:
            allowed = min(allowed, handover.max_attempts)
        return allowed - len(self._record.attempted)

    def _tried(self) -> list[str]:
        handover = self._request.handover
        before = () if handover is None else handover.tried
        return [*before, *self._record.attempted, *self._record.unreachable]

    def _log(self, *, status: int, code: str, reason: str) -> None:
        if self._request.handover is not None:
            self._request.handover.attempted = self._record.attempted
        self._record.log(
            self._environment,
            self._request,
            self._plan,
            status=status,
            code=code,
            reason=reason,
            deadline=self._deadline,
        )

    def _now(self) -> float:
        return self._environment.clock.monotonic()


def _failure_of(response: TargetResponse) -> ExchangeError:
    if response.is_not_run:
        return ExchangeError(
            detail=f'the target refused the request with status {response.http.status}',
            may_have_run=False,
        )
    return ExchangeError(detail='the response is not signed', may_have_run=True)


def _to_request_error(failure: ExchangeError) -> RequestError:
    if not failure.may_have_run:
        return OverloadedError(detail=failure.detail, retry_after_s=_RETRY_AFTER_S)
    if failure.has_timed_out:
        return OutcomeUnknownError(detail=failure.detail)
    return TargetFailedError(detail=failure.detail)
