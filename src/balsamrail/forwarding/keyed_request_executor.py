"""Executes requests with an idempotency key on the host that the key names."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from balsamrail.configuration import Target
from balsamrail.environment import Environment
from balsamrail.errors import KeyClaimError, KeyInvalidError, OutcomeUnknownError
from balsamrail.exchange.hop_headers import end_to_end_headers
from balsamrail.exchange.response import Response
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.bound_key import BoundKey
from balsamrail.forwarding.claims import Claims
from balsamrail.forwarding.collaborators import MemberLookup
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.key_table import KeyTable
from balsamrail.forwarding.plan import Plan
from balsamrail.forwarding.upstream_request import UpstreamRequest
from balsamrail.settings.address import Address

_MS_IN_S = 1_000
# Limits how long a key can occupy its record.
_MAX_KEY_LIFETIME_S = 86_400.0
# A claim may expire between the claim of a resend and the lookup in the key table, so the record
# of a caller-generated key outlives its claim.
_CALLER_KEY_GRACE_S = 60.0
_FORWARDED_BY_HEADER = 'Balsamrail-Passed-On'
_REPLACED_HEADERS = frozenset(('balsamrail-passed-on', 'content-length', 'deadline-ms'))


class KeyedRequestExecutor:
    """Routes a keyed request to the only incarnation that may run it."""

    __slots__ = ('_claims', '_environment', '_members', '_pool', 'keys')

    def __init__(
        self,
        *,
        environment: Environment,
        members: MemberLookup,
        pool: ConnectionPool,
        claims: Claims | None,
    ) -> None:
        self._environment = environment
        self._members = members
        self._pool = pool
        self._claims = claims
        self.keys = KeyTable(environment=environment)

    async def execute(
        self,
        key: str,
        plan: Plan,
        run: Callable[[Plan], Awaitable[Response]],
    ) -> Response:
        """Run the request on this host or on the host that the key names, at most once.

        :raises OutcomeUnknownError: if the key expired, its host is gone or does not respond, or
            an earlier run of the key may have taken effect.
        :raises KeyInvalidError: if the key is malformed.
        :raises KeyClaimError: if the key is caller-generated and cannot be claimed.
        """
        try:
            async with asyncio.timeout_at(plan.deadline):
                return await self._execute(key, plan, run)
        except TimeoutError:
            raise OutcomeUnknownError(detail='the deadline passed while the request was running')

    def dump(self) -> dict[str, Any]:
        """Return the state of the key table."""
        return self.keys.dump()

    async def _execute(
        self,
        key: str,
        plan: Plan,
        run: Callable[[Plan], Awaitable[Response]],
    ) -> Response:
        bound = BoundKey.parse(key)
        if bound is None:
            holder, expiry_wall_s = await self._claim(key, plan)
        else:
            self._check_expiry(bound, plan)
            holder, expiry_wall_s = f'{bound.host}@{bound.incarnation}', bound.expiry_wall_s
        if holder != self._environment.holder:
            return await self._forward_to_holder(holder, plan)
        return await self.keys.run_once(
            key,
            expiry_wall_s=expiry_wall_s,
            fingerprint=plan.fingerprint,
            run=lambda: run(plan),
        )

    async def _claim(self, key: str, plan: Plan) -> tuple[str, float]:
        known = self.keys.expiry_of(key)
        if known is not None:
            # The record proves the claim, so a resend does not depend on the store.
            return self._environment.holder, known
        if self._claims is None:
            raise KeyClaimError(detail='caller-generated keys are not supported on this host')
        expiry_wall_s = self._environment.clock.wall() + plan.route.keep_key_s
        holder = await self._claims.claim(key, expiry_wall_s=expiry_wall_s)
        return holder, expiry_wall_s + _CALLER_KEY_GRACE_S

    def _check_expiry(self, bound: BoundKey, plan: Plan) -> None:
        keep_s = [route.keep_key_s for route in plan.service.routes]
        max_lifetime_s = max(_MAX_KEY_LIFETIME_S, *keep_s, plan.route.keep_key_s)
        if bound.expiry_wall_s > self._environment.clock.wall() + max_lifetime_s:
            raise KeyInvalidError(detail='the idempotency key expires too far in the future')

    async def _forward_to_holder(self, holder: str, plan: Plan) -> Response:
        request = plan.request
        if _FORWARDED_BY_HEADER in request.headers:
            raise OutcomeUnknownError(detail='the host that the key names has restarted')
        host, _, incarnation = holder.partition('@')
        member = self._members.get(host)
        if member is None or member.incarnation != incarnation or member.state == 'gone':
            raise OutcomeUnknownError(detail='the host that the key names is gone')
        self._environment.metrics.count('keyed_requests_passed_on')
        headers = end_to_end_headers(request.headers, without=_REPLACED_HEADERS)
        headers[_FORWARDED_BY_HEADER] = self._environment.settings.host
        remaining_s = plan.deadline - self._environment.clock.monotonic()
        headers['Deadline-Ms'] = str(max(1, int(remaining_s * _MS_IN_S)))
        headers.setdefault('Host', member.caller_address)
        upstream_request = UpstreamRequest(
            method=request.method,
            path=f'/services/{request.service}{request.path}',
            headers=headers,
            body=request.body,
        )
        target = Target(
            address=Address(member.caller_address),
            availability_zone=member.availability_zone,
            slots=1,
        )
        try:
            return await self._pool.exchange(
                target=target,
                upstream_request=upstream_request,
                fresh=True,
                deadline=plan.deadline,
            )
        except AttemptError as error:
            raise OutcomeUnknownError(
                detail=f'the host that the key names did not respond: {error.detail}',
            )
