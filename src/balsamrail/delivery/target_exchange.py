"""Sends a request to a target."""

from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_connection_pool import HttpConnectionPool
from balsamrail.delivery.notice_handler import NoticeHandler
from balsamrail.delivery.target_codec import TargetCodec
from balsamrail.delivery.target_response import TargetResponse
from balsamrail.environment import Environment
from balsamrail.errors import DeadlineExpiredError, ExchangeError, TargetExcludedError
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.target_attempt import AttemptOutcome, TargetAttempt
from balsamrail.placement.target_state import TargetState

# The target gets a slightly earlier deadline than the caller, so that its response arrives in time.
_RESPONSE_MARGIN_S = 0.04
_MIN_EXECUTION_S = 0.02
# Delay before the first health check of a target that refused a connection.
_FIRST_CHECK_DELAY_S = 0.25
_MIN_SERVER_ERROR_STATUS = 500


class TargetExchange:
    """Sends requests over pooled connections and records the resulting state of the target."""

    __slots__ = ('_codec', '_environment', '_notice_handler', '_pool')

    def __init__(
        self,
        *,
        environment: Environment,
        pool: HttpConnectionPool,
        codec: TargetCodec,
        notice_handler: NoticeHandler,
    ) -> None:
        self._environment = environment
        self._notice_handler = notice_handler
        self._pool = pool
        self._codec = codec

    async def send(
        self,
        request: EntryRequest,
        state: TargetState,
        *,
        route: ManifestRoute,
        object_key: str,
        fresh_only: bool,
        deadline: float,
        recheck: Callable[[], ExclusionReason | None],
    ) -> TargetResponse:
        """Send a request and return the target's complete response.

        :param route: the request's route.
        :param object_key: key by which the target was selected.
        :param fresh_only: use only a new or recently used connection, which the target is unlikely to be
            closing.
        :param deadline: event loop time in seconds at which the caller must have a response.
        :param recheck: called right before the send; returns why the target has been ruled out since
            it was chosen, ``None`` if it has not.
        :raises TargetExcludedError: if the target was ruled out; nothing was sent.
        :raises ExchangeError: if there is no complete response.
        :raises DeadlineExpiredError: if too little time is left for the target.
        """
        clock = self._environment.clock
        ending = AttemptOutcome.abandoned
        sending = state.begin(
            route=route.name, object_key=object_key, aim_s=route.aim_s, now=clock.monotonic()
        )
        try:
            response = await self._send(
                request,
                state,
                sending,
                fresh_only=fresh_only,
                deadline=deadline,
                recheck=recheck,
            )
            if response.load is not None:
                state.note_load(response.load, now=clock.monotonic())
            ending = _ending_of_response(response)
        except TargetExcludedError as error:
            self._note_ruled_out(request, state, error)
            raise
        except ExchangeError as error:
            ending = _ending_of_failure(error)
            self._note_failure(request, state, sending, error)
            raise
        finally:
            state.end(sending, ending, now=clock.monotonic())
        state.failures = 0
        return response

    async def _send(
        self,
        request: EntryRequest,
        state: TargetState,
        sending: TargetAttempt,
        *,
        fresh_only: bool,
        deadline: float,
        recheck: Callable[[], ExclusionReason | None],
    ) -> TargetResponse:
        entry = state.entry
        connection = await self._pool.acquire(
            entry.target_id, entry.address, fresh_only=fresh_only, deadline=deadline
        )
        left_s = deadline - self._environment.clock.monotonic() - _RESPONSE_MARGIN_S
        if left_s < _MIN_EXECUTION_S:
            self._pool.release(entry.target_id, connection)
            raise DeadlineExpiredError(
                detail='too little time left to send the request', retry_after_s=0.3
            )
        is_moved = entry.address != state.entry.address
        ruled_out = ExclusionReason.gone if is_moved else recheck()
        if ruled_out is not None:
            self._pool.release(entry.target_id, connection)
            raise TargetExcludedError(reason=ruled_out.value)
        if not fresh_only:
            state.retryable_connections.add(connection)

        def matches_request(fields: HTTPHeaders, is_first: bool) -> bool:
            return self._codec.matches_request(request, fields, is_first=is_first)

        def handle_head(status: int, fields: HTTPHeaders, is_first: bool) -> None:
            sending.has_response = True
            state.paths.note_contact(now=self._environment.clock.monotonic())
            is_current = matches_request(fields, is_first)
            notice = self._codec.decode_notice(status, fields, is_current=is_current)
            self._notice_handler.handle(state, notice)

        try:
            found = await connection.exchange(
                self._codec.encode_request(request, entry=entry, left_s=left_s),
                deadline=deadline,
                matches_request=matches_request,
                on_head=handle_head,
            )
        except ExchangeError as error:
            if error.was_reused and not error.has_timed_out and not sending.has_response:
                self._pool.note_reset(entry.target_id, connection)
            raise
        finally:
            state.retryable_connections.discard(connection)
        self._pool.release(entry.target_id, connection)
        return self._codec.decode_response(found)

    def _note_ruled_out(
        self, request: EntryRequest, state: TargetState, error: TargetExcludedError
    ) -> None:
        self._environment.metrics.count('attempts_ruled_out')
        self._environment.log.event(
            'attempt_ruled_out',
            request=request.request_id,
            target=state.entry.target_id,
            reason=error.detail,
        )

    def _note_failure(
        self,
        request: EntryRequest,
        state: TargetState,
        sending: TargetAttempt,
        error: ExchangeError,
    ) -> None:
        state.failures += 1
        now = self._environment.clock.monotonic()
        # A response that ended early came over a path that works.
        if not sending.has_response:
            state.paths.note_failure(state.entry.target_id, now=now)
        self._environment.metrics.count('attempts_failed')
        self._environment.log.event(
            'attempt_failed',
            request=request.request_id,
            target=state.entry.target_id,
            reason=error.detail,
            may_have_run=error.may_have_run,
            was_reused=error.was_reused,
            failures=state.failures,
        )
        if not error.may_have_run:
            self._pool.close_idle(state.entry.target_id)
            state.note_down(check_at=now + _FIRST_CHECK_DELAY_S, now=now)


def _ending_of_response(response: TargetResponse) -> AttemptOutcome:
    if response.is_not_run:
        return AttemptOutcome.refused
    if not response.is_final or response.http.status >= _MIN_SERVER_ERROR_STATUS:
        return AttemptOutcome.failed
    return AttemptOutcome.answered


def _ending_of_failure(error: ExchangeError) -> AttemptOutcome:
    if not error.may_have_run:
        return AttemptOutcome.abandoned
    return AttemptOutcome.timed_out if error.has_timed_out else AttemptOutcome.failed
