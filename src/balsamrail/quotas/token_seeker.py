"""Asks coordinators for the tokens that requests wait for."""

import asyncio
import random
from collections.abc import Mapping, Sequence

from balsamrail.environment import Environment
from balsamrail.messages import QuotaReply
from balsamrail.quotas.customer_tokens import CustomerTokens
from balsamrail.quotas.limited_customers import LimitedCustomers
from balsamrail.quotas.quota_fleet import QuotaFleet
from balsamrail.quotas.quota_messenger import QuotaMessenger
from balsamrail.quotas.role_client import RoleClient
from balsamrail.quotas.roles import ROLE_COUNT, coordinators, roles_of

_RETRY_INTERVAL_S = 0.1
# How long requests are refused without asking, at least; larger fleets ask less often.
_HOLD_S = 0.25
_MAX_HOLD_S = 0.5
_HOLD_FLEET_SIZE = 100
_HOLD_SPREAD = (0.75, 1.25)


class TokenSeeker:
    """Asks one coordinator of a customer, and the others if that gives too little."""

    __slots__ = (
        '_environment',
        '_fleet',
        '_fleet_size',
        '_limited',
        '_messenger',
        '_roles',
        '_serving',
        '_tokens_by_customer',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        messenger: QuotaMessenger,
        limited: LimitedCustomers,
        fleet: QuotaFleet,
        tokens_by_customer: Mapping[str, CustomerTokens],
    ) -> None:
        self._environment = environment
        self._messenger = messenger
        self._limited = limited
        self._fleet = fleet
        self._fleet_size = 1
        self._serving: Sequence[str] = ()
        self._tokens_by_customer = tokens_by_customer
        self._roles = tuple(
            RoleClient(environment=environment, role=role, send=messenger.send)
            for role in range(ROLE_COUNT)
        )
        messenger.on_reply = self._on_reply

    def seek(self, tokens: CustomerTokens) -> None:
        """Ask for the tokens that requests wait for, unless a reply is awaited."""
        if not tokens.waiting:
            tokens.denied_roles.clear()
            return
        if tokens.pending_roles:
            return
        if not self._roles[0].coordinator:
            self.maintain()
        roles = [self._roles[role] for role in roles_of(tokens.customer.name)]
        candidates = [
            role
            for role in roles
            if role.role not in tokens.denied_roles and role.is_worth_asking()
        ]
        if not candidates:
            self._give_up(tokens)
            return
        random.shuffle(candidates)
        role = min(candidates, key=_reluctance)
        tokens.pending_roles.add(role.role)
        role.wanting.add(tokens.customer.name)
        self._flush(role)

    def maintain(self) -> None:
        """Follow changes of the fleet, and renew what this host delegates."""
        self._fleet_size = self._fleet.size()
        serving = list(self._fleet.serving()) or [self._environment.settings.host]
        if serving != self._serving:
            self._serving = serving
            for role, host in zip(self._roles, coordinators(serving), strict=True):
                self._move(role, host)
        now = self._environment.clock.boottime()
        for role in self._roles:
            can_reach = self._fleet.is_running(role.binding.host)
            role.withdraw(can_reach=can_reach, fleet_size=self._fleet_size)
            if not role.open_number and role.binding.is_due(now=now, fleet_size=self._fleet_size):
                self._ask(role)

    def _move(self, role: RoleClient, host: str) -> None:
        if host == role.coordinator:
            return
        role.set_coordinator(host)
        # What was asked from the earlier coordinator is asked again.
        for tokens in self._tokens_by_customer.values():
            tokens.pending_roles.discard(role.role)
            tokens.denied_roles.discard(role.role)
            if tokens.waiting:
                asyncio.get_running_loop().call_soon(self.seek, tokens)

    def _flush(self, role: RoleClient) -> None:
        if role.wanting and not role.open_number:
            self._ask(role)

    def _ask(self, role: RoleClient) -> None:
        now = self._environment.clock.boottime()
        wanted: dict[str, int] = {}
        urgent: dict[str, int] = {}
        offered: dict[str, int] = {}
        for name in sorted(role.wanting):
            tokens = self._tokens_by_customer.get(name)
            count = tokens.wanted(now=now) if tokens is not None else 0
            if tokens is None:
                continue
            if not count:
                tokens.pending_roles.discard(role.role)
                continue
            wanted[name] = count
            offered[name] = tokens.report_offered(now=now)
            urgent_count = tokens.waiting.urgent_count()
            if urgent_count:
                urgent[name] = urgent_count
        role.wanting.clear()
        self._environment.metrics.count('quota_asks')
        number = role.ask(wanted, urgent, offered, fleet_size=self._fleet_size)
        asyncio.get_running_loop().call_later(
            role.timeout_s(), self._on_timeout, role, number, tuple(wanted)
        )

    def _on_timeout(self, role: RoleClient, number: int, names: tuple[str, ...]) -> None:
        if role.open_number != number:
            return
        role.open_number = 0
        role.is_silent = True
        self._environment.metrics.count('quota_timeouts')
        for name in names:
            tokens = self._tokens_by_customer.get(name)
            if tokens is not None:
                self._note_denied(role, tokens)
        self._flush(role)

    def _on_reply(self, host: str, reply: QuotaReply) -> None:
        role = self._roles[reply.role]
        noted = role.note_reply(host, reply)
        if noted is None:
            return
        sent_at, is_awaited, is_first = noted
        for name, given in reply.given_by_customer.items():
            tokens = self._tokens_by_customer.get(name)
            if tokens is None:
                continue
            if given > 0:
                tokens.put(given, expires_at=sent_at + tokens.terms.token_lifetime_s)
            elif given < 0 and self._limited.is_new(name):
                tokens.pass_waiting()
            tokens.demand_per_s = reply.demand_by_customer.get(name, 0)
            if is_awaited:
                self._note_denied(role, tokens)
        if is_first and not role.open_number:
            # The share can be delegated only now that a stamp is known.
            self._ask(role)
        self._flush(role)

    def _note_denied(self, role: RoleClient, tokens: CustomerTokens) -> None:
        """Ask further if requests still wait after a role has answered or stayed silent."""
        tokens.pending_roles.discard(role.role)
        tokens.denied_roles.add(role.role)
        self.seek(tokens)

    def _give_up(self, tokens: CustomerTokens) -> None:
        roles = [self._roles[role] for role in tokens.denied_roles]
        tokens.denied_roles.clear()
        is_known = any(role.is_complete and not role.is_silent for role in roles)
        if is_known and tokens.is_over_demanded():
            hold_s = min(_MAX_HOLD_S, _HOLD_S * max(1, self._fleet_size / _HOLD_FLEET_SIZE))
            now = self._environment.clock.boottime()
            tokens.refuses_until = now + hold_s * random.uniform(*_HOLD_SPREAD)
            tokens.fail_waiting()
            return
        # Tokens are short for a moment, or no coordinator knows enough of the fleet yet, as after a
        # start of all hosts.
        asyncio.get_running_loop().call_later(_RETRY_INTERVAL_S, self.seek, tokens)


def _reluctance(role: RoleClient) -> tuple[bool, bool, bool]:
    return (role.is_silent, not role.is_complete, bool(role.open_number))
