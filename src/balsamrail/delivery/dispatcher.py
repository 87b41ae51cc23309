"""Takes a caller's request to a target and brings the answer back."""

import asyncio
import math
from collections.abc import Coroutine
from typing import Any

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpAnswer
from balsamrail.delivery.target_answer import TargetAnswer
from balsamrail.delivery.target_pool import TargetPool
from balsamrail.delivery.target_wire import TargetWire
from balsamrail.environment import Environment
from balsamrail.errors import (
    DeadlineExpiredError,
    ExchangeError,
    NoTargetError,
    NotReadyError,
    OutcomeUnknownError,
    OverloadedError,
    TargetFailedError,
    UnknownRouteError,
)
from balsamrail.placement.chooser import Chooser, Refused
from balsamrail.placement.part_picker import PartPicker
from balsamrail.placement.retry_budget import RetryBudget
from balsamrail.placement.target_state import TargetState

# A target stops a little before the caller is answered, so that its own answer still arrives.
_RETURN_S = 0.04
_SHORTEST_WORK_S = 0.02
_FIRST_CHECK_S = 0.25


class Dispatcher:
    """Places each request, sends it, and sends it again where that is safe and allowed."""

    __slots__ = (
        '_background',
        '_budgets_by_service',
        '_catalog',
        '_chooser',
        '_environment',
        '_parts',
        '_pool',
        '_wire',
        'in_flight',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        chooser: Chooser,
        pool: TargetPool,
        wire: TargetWire,
    ) -> None:
        self._environment = environment
        self._catalog = catalog
        self._chooser = chooser
        self._pool = pool
        self._wire = wire
        self._parts = PartPicker()
        self._budgets_by_service: dict[str, RetryBudget] = {}
        self._background: set[asyncio.Task[HttpAnswer]] = set()
        self.in_flight = 0

    async def handle(self, request: EntryRequest) -> HttpAnswer:
        """Return the complete answer to a request.

        Cancelling it means that the caller has left: a request that may be repeated is cancelled
        at its target, another one goes on.

        :raises RequestError: if there is no answer; its ``outcome`` tells whether it ran.
        """
        manifest = self._catalog.manifest
        if manifest is None:
            raise NotReadyError(
                detail='the host has not learnt the manifest yet', retry_after_s=0.5
            )
        route = manifest.route_for(host=request.host, path=request.path)
        if route is None:
            raise UnknownRouteError(detail='no route matches the host name and the path')
        self.in_flight += 1
        try:
            if route.is_idempotent:
                return await self._run(route, request)
            return await self._run_on(self._run(route, request))
        finally:
            self.in_flight -= 1

    async def _run_on(self, run: Coroutine[Any, Any, HttpAnswer]) -> HttpAnswer:
        task = asyncio.create_task(run)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return await asyncio.shield(task)

    async def _run(self, route: ManifestRoute, request: EntryRequest) -> HttpAnswer:
        patience_s = request.patience_s if request.patience_s is not None else math.inf
        deadline = request.arrived_at + min(patience_s, route.timeout_s)
        service = self._parts.pick(route)
        budget = self._budget(service)
        budget.note_request(now=self._now())
        tried: list[str] = []
        failure: ExchangeError | None = None
        while True:
            state = self._choose(route, service, request, tried, failure)
            tried.append(state.entry.target_id)
            try:
                answer = await self._attempt(route, request, state, deadline)
            except ExchangeError as error:
                failure = error
                self._note_failure(state, error)
                if error.may_have_run and not route.is_idempotent:
                    raise _unknown(error)
                if not error.may_have_run:
                    # Nothing has reached a target, so the number of attempts is not used up.
                    tried_sent = [name for name in tried if name != state.entry.target_id]
                    if (
                        len(tried) > route.max_attempts + 2
                        or len(tried_sent) >= route.max_attempts
                    ):
                        raise _unknown(error)
                    continue
            else:
                state.failures = 0
                if not answer.is_not_run:
                    if answer.is_signed or answer.http.status >= 400:
                        return answer.http
                    failure = ExchangeError(detail='the answer is not signed', may_have_run=True)
                    if not route.is_idempotent:
                        raise _unknown(failure)
                else:
                    failure = ExchangeError(
                        detail=f'the target refused with {answer.http.status}', may_have_run=False
                    )
            if len(tried) >= route.max_attempts or not budget.take(now=self._now()):
                raise _unknown(failure)

    def _choose(
        self,
        route: ManifestRoute,
        service: str,
        request: EntryRequest,
        tried: list[str],
        failure: ExchangeError | None,
    ) -> TargetState:
        key = request.object_key or request.request_id
        choice = self._chooser.choose(
            route,
            service=service,
            object_key=f'{route.host}{route.path_prefix}{key}',
            tried=tried,
            now=self._now(),
        )
        if isinstance(choice, Refused):
            if failure is not None and failure.may_have_run:
                raise _unknown(failure)
            error = NoTargetError if choice.reason == 'no_target' else OverloadedError
            raise error(detail=choice.reason, retry_after_s=choice.retry_after_s)
        return choice.state

    async def _attempt(
        self,
        route: ManifestRoute,
        request: EntryRequest,
        state: TargetState,
        deadline: float,
    ) -> TargetAnswer:
        entry = state.entry
        state.in_flight += 1
        try:
            connection = await self._pool.take(
                entry, is_fresh=not route.is_idempotent, deadline=deadline
            )
            left_s = deadline - self._now() - _RETURN_S
            if left_s < _SHORTEST_WORK_S:
                connection.close()
                raise DeadlineExpiredError(detail='no time is left', retry_after_s=0.3)
            outgoing = self._wire.outgoing(request, entry=entry, left_s=left_s)
            found = await connection.exchange(
                outgoing,
                deadline=deadline,
                is_answer=lambda answer: self._wire.belongs(request, answer),
            )
        finally:
            state.in_flight -= 1
        self._pool.give_back(entry, connection)
        answer = self._wire.read(found)
        if answer.load is not None:
            state.note_load(answer.load, now=self._now())
        return answer

    def _note_failure(self, state: TargetState, error: ExchangeError) -> None:
        state.failures += 1
        self._environment.log.event(
            'attempt_failed',
            target=state.entry.target_id,
            reason=error.detail,
            may_have_run=error.may_have_run,
            reused=error.was_reused,
        )
        if not error.may_have_run:
            self._pool.drop(state.entry.target_id)
            state.is_down = True
            state.check_at = self._now() + _FIRST_CHECK_S

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(ratio=0.1, slack=2, window_s=10)
            self._budgets_by_service[service] = budget
        return budget

    def _now(self) -> float:
        return self._environment.clock.monotonic()


def _unknown(error: ExchangeError) -> Exception:
    if not error.may_have_run:
        return OverloadedError(detail=error.detail, retry_after_s=0.3)
    if error.has_timed_out:
        return OutcomeUnknownError(detail=error.detail)
    return TargetFailedError(detail=error.detail)
