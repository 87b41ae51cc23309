"""Forwards requests of callers to upstreams."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from urllib.parse import unquote

from balsamrail.configuration import Route
from balsamrail.environment import Environment
from balsamrail.errors import (
    BadRequestError,
    HostLeavingError,
    RequestError,
    UnknownServiceError,
)
from balsamrail.exchange.crash_registry import CrashRegistry
from balsamrail.exchange.fingerprint import fingerprint_of
from balsamrail.exchange.hop_headers import end_to_end_headers
from balsamrail.exchange.response import Response
from balsamrail.forwarding.caller_request import CallerRequest
from balsamrail.forwarding.claims import Claims
from balsamrail.forwarding.collaborators import (
    AdmissionRouter,
    DeclarationProvider,
    MemberLookup,
    TrialObserver,
)
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.keyed_request_executor import KeyedRequestExecutor
from balsamrail.forwarding.plan import Plan
from balsamrail.forwarding.request_sender import RequestSender
from balsamrail.forwarding.task_exceptions import mark_exception_retrieved
from balsamrail.membership.network import Network

_MS_IN_S = 1_000
_SERVER_ERROR = 500
_DOT_SEGMENTS = frozenset(('.', '..'))
_REQUEST_ID = frozenset(('request-id',))
_REJECTED_OUTCOME = 'refused'


class Forwarder:
    """Handles complete requests and returns complete responses.

    Cancelling :meth:`handle` means that the caller disconnected: an idempotent request is then
    cancelled at its upstream, any other request continues.
    """

    __slots__ = (
        '_background',
        '_environment',
        '_executor',
        '_in_flight',
        '_is_leaving',
        '_judge',
        '_pool',
        '_sender',
        '_tracker',
        'crashes',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        tracker: DeclarationProvider,
        router: AdmissionRouter,
        network: Network,
        members: MemberLookup,
        judge: TrialObserver | None = None,
        claims: Claims | None = None,
        pool: ConnectionPool | None = None,
    ) -> None:
        self._environment = environment
        self._tracker = tracker
        self._judge = judge
        self._pool = pool or ConnectionPool(environment=environment)
        self.crashes = CrashRegistry(environment=environment, network=network)
        self._sender = RequestSender(
            environment=environment,
            router=router,
            pool=self._pool,
            crashes=self.crashes,
        )
        self._executor = KeyedRequestExecutor(
            environment=environment,
            members=members,
            pool=self._pool,
            claims=claims,
        )
        self._background: set[asyncio.Task[Response]] = set()
        self._in_flight = 0
        self._is_leaving = False

    async def handle(self, request: CallerRequest) -> Response:
        """Return the complete response to a request.

        :raises RequestError: if there is no response; ``outcome`` tells whether the request ran.
        """
        started = self._environment.clock.monotonic()
        revision, plan = self._plan(request, started)
        failed = False
        self._in_flight += 1
        try:
            response = await self._run(plan)
            failed = response.status >= _SERVER_ERROR
        except RequestError as error:
            failed = error.outcome != _REJECTED_OUTCOME
            raise
        finally:
            self._in_flight -= 1
            self._observe(revision, started, failed=failed)
        return _response_for_caller(request, response)

    def reject_new_requests(self) -> None:
        """Reject new requests from now on; requests in flight are completed."""
        self._is_leaving = True

    def in_flight(self) -> int:
        """Return the number of unfinished requests, including those whose caller disconnected."""
        return max(self._in_flight, len(self._background) + self._executor.keys.in_flight())

    async def run(self) -> None:
        """Maintain the connection pool until cancelled, then close idle connections."""
        try:
            await self._pool.run()
        finally:
            self._pool.close()

    def dump(self) -> dict[str, Any]:
        """Return the state of connections, keys and crashes."""
        return {
            'in_flight': self.in_flight(),
            'connections': self._pool.dump(),
            'keys': self._executor.dump(),
            'crashes': self.crashes.dump(),
        }

    def _observe(self, revision: int, started: float, *, failed: bool) -> None:
        latency_s = self._environment.clock.monotonic() - started
        self._environment.metrics.record('request', latency_s)
        if self._judge is not None:
            self._judge.observe(revision=revision, failed=failed, latency_s=latency_s)

    def _plan(self, request: CallerRequest, now: float) -> tuple[int, Plan]:
        revision, declaration = self._tracker.for_caller(request.caller)
        service = declaration.services.get(request.service)
        if service is None:
            raise UnknownServiceError(detail=f'there is no service {request.service}')
        route = service.route_for(method=request.method, path=_decode_path(request.path))
        deadline = now + service.deadline_ms / _MS_IN_S
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        return revision, Plan(
            request=request,
            declaration=declaration,
            service=service,
            route=route or Route(methods=[request.method]),
            deadline=deadline,
            fingerprint=fingerprint_of(
                service=request.service,
                method=request.method,
                path=request.path,
                body=request.body,
            ),
        )

    async def _run(self, plan: Plan) -> Response:
        if plan.route.idempotent:
            return await self._start(plan)
        key = plan.request.headers.get('Idempotency-Key')
        if key is None:
            return await self._run_detached(self._start(plan))
        return await self._executor.execute(key, plan, self._start)

    async def _start(self, plan: Plan) -> Response:
        # Checked here and not on arrival, since a host that is stopping still returns the stored
        # response for a resend of a key that ran.
        if self._is_leaving:
            raise HostLeavingError(detail='the host is stopping')
        return await self._sender.run(plan)

    async def _run_detached(self, run: Coroutine[Any, Any, Response]) -> Response:
        # A request that is not idempotent continues when its caller disconnects: if it were
        # cancelled, the caller could not find out whether it ran.
        task = asyncio.create_task(run)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        task.add_done_callback(mark_exception_retrieved)
        return await asyncio.shield(task)


def _decode_path(path: str) -> str:
    decoded = unquote(path.partition('?')[0])
    # An upstream may normalize the path, so that the request would belong to another route.
    if _DOT_SEGMENTS.intersection(decoded.split('/')) or '//' in decoded:
        raise BadRequestError(detail='the path has empty or dot segments')
    return decoded


def _response_for_caller(request: CallerRequest, response: Response) -> Response:
    headers = end_to_end_headers(response.headers, without=_REQUEST_ID)
    if 'Request-Id' in request.headers:
        headers['Request-Id'] = request.headers['Request-Id']
    return Response(
        status=response.status,
        headers=headers,
        body=response.body,
    )
