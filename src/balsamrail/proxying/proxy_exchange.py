"""Sends requests to other hosts, which send them to targets."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol

from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_connection import HttpConnection
from balsamrail.delivery.http_connection_pool import HttpConnectionPool
from balsamrail.environment import Environment
from balsamrail.errors import DeadlineExpiredError, ExchangeError
from balsamrail.membership.member import Member
from balsamrail.proxying.handover import Handover
from balsamrail.proxying.proxy_codec import ProxyCodec
from balsamrail.proxying.proxy_host_selector import ProxyHostSelector
from balsamrail.proxying.proxy_reply import ProxyRefusal, ProxyReply

# The other host gets a slightly earlier deadline than the caller, so that its response arrives in time.
_RESPONSE_MARGIN_S = 0.04
_MIN_EXECUTION_S = 0.02
_UNREACHABLE_STATES = frozenset(('suspect', 'gone'))


class MemberTable(Protocol):
    """The members by host, with their changes."""

    def get(self, host: str) -> Member | None:
        """Return a member in any state."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change."""


class ProxyExchange:
    """Sends requests over pooled connections to the peer addresses of other hosts.

    A host that disappears during a request closes no connection, so the requests that may be
    repeated end as soon as the host is suspected.
    """

    __slots__ = ('_codec', '_environment', '_members', '_retryable_by_host', '_selector', 'pool')

    def __init__(
        self,
        *,
        environment: Environment,
        members: MemberTable,
        selector: ProxyHostSelector,
        codec: ProxyCodec,
    ) -> None:
        self._environment = environment
        self._members = members
        self._selector = selector
        self._codec = codec
        self._retryable_by_host: dict[str, set[HttpConnection]] = {}
        self.pool = HttpConnectionPool(
            environment=environment, opened_metric='proxy_connections_opened'
        )
        members.subscribe(self._on_members_change)

    async def send(
        self,
        request: EntryRequest,
        member: Member,
        *,
        handover: Handover,
        is_idempotent: bool,
        deadline: float,
    ) -> ProxyReply:
        """Send a request to another host and return its reply.

        :param deadline: event loop time in seconds at which the caller must have a response.
        :raises ExchangeError: if there is no complete reply.
        :raises DeadlineExpiredError: if too little time is left for the other host.
        """
        self._environment.metrics.count('requests_proxied')
        self._selector.begin(member.host)
        try:
            reply = await self._send(
                request, member, handover=handover, is_idempotent=is_idempotent, deadline=deadline
            )
        except ExchangeError as error:
            self._note_failure(request, member, error)
            raise
        finally:
            self._selector.end(member.host)
        if isinstance(reply, ProxyRefusal):
            self._note_refusal(request, member, reply)
        return reply

    def dump(self) -> dict[str, Any]:
        """Return the requests in flight and the idle connections by host."""
        return {'in_flight': self._selector.dump(), 'idle': self.pool.dump()}

    async def _send(
        self,
        request: EntryRequest,
        member: Member,
        *,
        handover: Handover,
        is_idempotent: bool,
        deadline: float,
    ) -> ProxyReply:
        connection = await self.pool.acquire(
            member.host, member.peer_address, fresh_only=not is_idempotent, deadline=deadline
        )
        left_s = deadline - self._environment.clock.monotonic() - _RESPONSE_MARGIN_S
        if left_s < _MIN_EXECUTION_S:
            self.pool.release(member.host, connection)
            raise DeadlineExpiredError(
                detail='too little time left to send the request', retry_after_s=0.3
            )
        with self._closed_on_suspicion(member.host, connection if is_idempotent else None):
            response = await connection.exchange(
                self._codec.encode_request(request, handover=handover, left_s=left_s),
                deadline=deadline,
            )
        self.pool.release(member.host, connection)
        return self._codec.decode_reply(request, response)

    @contextmanager
    def _closed_on_suspicion(self, host: str, connection: HttpConnection | None) -> Iterator[None]:
        """Close a connection as soon as ``host`` is suspected; ``None`` for a request that stays."""
        if connection is None:
            yield
            return
        retryable = self._retryable_by_host.setdefault(host, set())
        retryable.add(connection)
        try:
            yield
        finally:
            retryable.discard(connection)
            # A set that has been in use all the time is the one in the table.
            if not retryable:
                self._retryable_by_host.pop(host)

    def _note_failure(self, request: EntryRequest, member: Member, error: ExchangeError) -> None:
        self._environment.metrics.count('requests_proxied_failed')
        self._environment.log.event(
            'proxy_failed',
            request=request.request_id,
            peer=member.host,
            reason=error.detail,
            may_have_run=error.may_have_run,
        )
        if not error.may_have_run:
            self.pool.close_idle(member.host)
            self._selector.note_unusable(member.host)

    def _note_refusal(self, request: EntryRequest, member: Member, refusal: ProxyRefusal) -> None:
        self._environment.metrics.count('requests_proxied_refused')
        self._environment.log.event(
            'proxy_refused',
            request=request.request_id,
            peer=member.host,
            reason=refusal.code,
            retry_after_s=refusal.retry_after_s,
        )
        if refusal.excludes_host():
            self._selector.note_unusable(member.host)

    def _on_members_change(self) -> None:
        for host, connections in list(self._retryable_by_host.items()):
            member = self._members.get(host)
            if member is None or member.state in _UNREACHABLE_STATES:
                for connection in list(connections):
                    connection.close()
