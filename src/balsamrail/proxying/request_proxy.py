"""Decides when a request goes through another host, and sends it there."""

from dataclasses import replace
from typing import Any

from balsamrail.delivery.attempt_record import AttemptRecord
from balsamrail.delivery.delivery_plan import DeliveryPlan
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.delivery.notice_handler import NoticeHandler
from balsamrail.delivery.target_codec import TargetCodec
from balsamrail.environment import Environment
from balsamrail.errors import ExchangeError, OverloadedError
from balsamrail.membership.member import Member
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.proxying.handover import Handover
from balsamrail.proxying.proxy_exchange import ProxyExchange
from balsamrail.proxying.proxy_host_selector import ProxyHostSelector
from balsamrail.proxying.proxy_reply import ProxyAnswer, ProxyFailure, ProxyRefusal, ProxyReply

# Failed connections of one request after which it no longer tries this host's own paths.
_MAX_UNREACHABLE = 2
# Hosts that are asked for one request.
_MAX_HOSTS = 3
# After this long, health checks of other targets would have shown that the paths are not lost.
_MIN_LOST_S = 0.5
_RETRY_AFTER_S = 0.5
# The fraction of the targets that were passed over as down from which on a lack of room is this
# host's own.
_MIN_DOWN_FRACTION = 0.5


class RequestProxy:
    """Sends requests through hosts that reach the targets while this host does not.

    A host whose paths to targets are cut still reaches its peers. What it cannot send itself goes
    to a peer, which treats it like a request of its own callers: it applies the manifest, the limits
    of targets and of regions, and rejects at once what it cannot serve. It never sends the request to
    a third host. Whether the paths or the targets have failed needs no decision: if the targets
    have, the peers do not reach them either and say so.

    :param target_registry: the targets as seen over this host's own paths.
    :param notice_handler: records what targets announce in the responses that other hosts pass on.
    """

    __slots__ = (
        '_codec',
        '_environment',
        '_exchange',
        '_notice_handler',
        '_selector',
        '_target_registry',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        target_registry: TargetRegistry,
        selector: ProxyHostSelector,
        exchange: ProxyExchange,
        codec: TargetCodec,
        notice_handler: NoticeHandler,
    ) -> None:
        self._codec = codec
        self._environment = environment
        self._notice_handler = notice_handler
        self._target_registry = target_registry
        self._selector = selector
        self._exchange = exchange

    def host_before_targets(
        self, request: EntryRequest, plan: DeliveryPlan, record: AttemptRecord
    ) -> Member | None:
        """Return the host to ask before a target is tried directly, ``None`` if there is none."""
        paths = self._target_registry.paths
        is_preferred = (
            paths.is_lost()
            or len(record.unreachable) >= _MAX_UNREACHABLE
            or (record.has_failed() and not paths.has_contact_since(request.arrived_at))
        )
        return self._select(request, plan, record) if is_preferred else None

    def rejection_without_paths(self, record: AttemptRecord) -> Rejection | None:
        """Return why a request is rejected that neither this nor another host can send.

        The result is ``None`` unless the paths are lost: with some certainty, or as far as the other
        hosts that were asked say.
        """
        paths = self._target_registry.paths
        now = self._environment.clock.monotonic()
        is_confirmed = paths.have_several_failed() and paths.lost_s(now=now) >= _MIN_LOST_S
        if not paths.is_lost() or not (is_confirmed or record.proxy_hosts):
            return None
        return Rejection(reason='no_target', retry_after_s=_RETRY_AFTER_S, spread_s=_RETRY_AFTER_S)

    def host_after(
        self,
        rejection: Rejection,
        request: EntryRequest,
        plan: DeliveryPlan,
        record: AttemptRecord,
    ) -> Member | None:
        """Return the host to ask for a request that no target takes over this host's own paths.

        :param rejection: why no target was selected.
        """
        match rejection.reason:
            case 'no_target':
                return self._select(request, plan, record)
            case 'overloaded':
                down_fraction = record.passed_over.fraction_of(ExclusionReason.down)
                if down_fraction >= _MIN_DOWN_FRACTION:
                    return self._select(request, plan, record)
        return None

    async def attempt(
        self,
        request: EntryRequest,
        member: Member,
        record: AttemptRecord,
        *,
        attempts_left: int,
        is_idempotent: bool,
        deadline: float,
    ) -> HttpResponse | ExchangeError:
        """Send a request through another host; return the response, or why there is none.

        :param attempts_left: how many targets the request may still be sent to. One attempt is
            kept back if possible, for the case that the other host fails.
        :param deadline: event loop time in seconds at which the caller must have a response.
        :raises RequestError: if no host will serve the request.
        """
        handover = Handover(
            origin=self._environment.settings.host,
            max_attempts=max(1, attempts_left - 1),
            tried=tuple(record.attempted),
            customer=request.customer_name,
        )
        record.proxy_hosts.append(member.host)
        try:
            reply = await self._exchange.send(
                request, member, handover=handover, is_idempotent=is_idempotent, deadline=deadline
            )
        except ExchangeError as error:
            if error.may_have_run:
                record.note_unknown_attempts(member.host, count=handover.max_attempts)
            return error
        record.attempted.extend(reply.attempted)
        if isinstance(reply, ProxyFailure) and not reply.attempted:
            record.note_unknown_attempts(member.host, count=handover.max_attempts)
        if isinstance(reply, ProxyAnswer):
            self._note_target(reply)
        return _outcome_of(reply, member)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return self._exchange.dump()

    def _note_target(self, answer: ProxyAnswer) -> None:
        """Record what the target announced that the other host sent the request to last."""
        state = self._target_registry.state_of(answer.attempted[-1]) if answer.attempted else None
        if state is None:
            return
        response = answer.response
        notice = self._codec.decode_notice(response.status, response.headers, is_current=True)
        # A refusal concerns the host that it was sent to.
        self._notice_handler.handle(state, replace(notice, refuses_for_s=None))

    def _select(
        self, request: EntryRequest, plan: DeliveryPlan, record: AttemptRecord
    ) -> Member | None:
        if request.handover is not None or len(record.proxy_hosts) >= _MAX_HOSTS:
            return None
        return self._selector.select(
            allowed_regions=plan.route.allowed_regions, excluded=record.proxy_hosts
        )


def _outcome_of(reply: ProxyReply, member: Member) -> HttpResponse | ExchangeError:
    match reply:
        case ProxyAnswer():
            return reply.response
        case ProxyRefusal():
            detail = f'{member.host} refused: {reply.code}'
            if reply.is_final():
                raise OverloadedError(detail=detail, retry_after_s=reply.retry_after_s)
            return ExchangeError(detail=detail, may_have_run=False)
        case ProxyFailure():
            return ExchangeError(
                detail=f'{member.host} got no response: {reply.code}',
                may_have_run=True,
                has_timed_out=reply.has_timed_out,
            )
