"""Chooses the hosts that look-ups name."""

import math
from collections.abc import Iterable
from hashlib import blake2b
from typing import Protocol

from balsamrail.configuration import Declaration, Service
from balsamrail.environment import Environment
from balsamrail.errors import NotReadyError, UnknownServiceError
from balsamrail.lookup.block_map import block_of
from balsamrail.lookup.block_sync import BlockSync
from balsamrail.lookup.lookup_answer import LookupAnswer, choose_members
from balsamrail.membership.member import Member

_HOSTS_NAMED = 5
_CALLER_GROUPS = 4_096
_ANSWERS_KEPT = 20_000
# Longer than this, a host that became alive stays unnamed; leaving ones are checked each time.
_MEMBERS_KEPT_S = 0.1
_DEFAULT_KEEP_KEY_S = 600


class _Tracker(Protocol):
    def for_caller(self, caller: str) -> tuple[int, Declaration]: ...


class _Members(Protocol):
    def advertised(self) -> list[Member]: ...

    def get(self, host: str) -> Member | None: ...


class _Router(Protocol):
    def region_order(
        self, *, service: str, declaration: Declaration, nearest_region: str
    ) -> list[str]: ...


_AnswerKey = tuple[str, int, int, tuple[str, ...]]


class LookupTable:
    """Answers look-ups.

    Callers are put into groups by a hash of their /24 block. The order of hosts is computed by
    rendezvous hashing once for each group and kept until the members change, so that an answer
    costs little more than the HTTP exchange.
    """

    __slots__ = (
        '_answer_by_key',
        '_blocks',
        '_environment',
        '_members',
        '_named',
        '_named_until',
        '_router',
        '_tracker',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        tracker: _Tracker,
        members: _Members,
        router: _Router,
        blocks: BlockSync,
    ) -> None:
        self._environment = environment
        self._tracker = tracker
        self._members = members
        self._router = router
        self._blocks = blocks
        self._answer_by_key: dict[_AnswerKey, LookupAnswer] = {}
        self._named: list[Member] = []
        self._named_until = -math.inf

    def answer(self, *, service: str, caller: str) -> str:
        """Return the body of the answer to a caller, given by IP number.

        :raises UnknownServiceError: if the declaration has no such service.
        :raises NotReadyError: if no declaration is in force or no host can be named.
        """
        revision, declaration = self._tracker.for_caller(caller)
        declared = declaration.services.get(service)
        if declared is None:
            raise UnknownServiceError(detail=f'there is no service {service!r}')
        nearest = self._blocks.region(caller)
        if nearest not in declaration.regions:
            nearest = self._environment.settings.region
        order = self._router.region_order(
            service=service, declaration=declaration, nearest_region=nearest
        )
        key = (service, revision, _caller_group(caller), tuple(order))
        expiry = self._environment.clock.wall() + self._validity_s(declared)
        return self._kept_answer(key).body(expiry_wall_s=int(expiry))

    def is_leaving(self, host: str) -> bool:
        """Return whether a host must not be named."""
        member = self._members.get(host)
        return member is not None and member.state == 'leaving'

    def _kept_answer(self, key: _AnswerKey) -> LookupAnswer:
        self._refresh_members()
        answer = self._answer_by_key.get(key)
        if answer is not None and any(self.is_leaving(host) for host in answer.hosts):
            self._named_until = -math.inf
            self._refresh_members()
            answer = None
        if answer is None:
            answer = self._make_answer(key)
            if len(self._answer_by_key) >= _ANSWERS_KEPT:
                self._answer_by_key.clear()
            self._answer_by_key[key] = answer
        return answer

    def _make_answer(self, key: _AnswerKey) -> LookupAnswer:
        service, revision, group, order = key
        members = [member for member in self._named if not self.is_leaving(member.host)]
        if not members:
            raise NotReadyError(detail='no host can be named yet')
        in_order = [member for member in members if member.region in order] or members
        regions = order if in_order is not members else {member.region for member in members}
        chosen = choose_members(
            members=(member for region in regions for member in _ranked(group, region, in_order)),
            count=_HOSTS_NAMED,
        )
        return LookupAnswer(
            service=service,
            revision=revision,
            ttl_s=self._environment.settings.limits.lookup_ttl_s,
            members=chosen,
        )

    def _refresh_members(self) -> None:
        now = self._environment.clock.monotonic()
        if now < self._named_until:
            return
        self._named_until = now + _MEMBERS_KEPT_S
        named = self._members.advertised()
        if named != self._named:
            self._named = named
            self._answer_by_key.clear()

    def _validity_s(self, service: Service) -> float:
        keep = (route.keep_key_s for route in service.routes if not route.idempotent)
        ttl = self._environment.settings.limits.lookup_ttl_s
        return ttl + max(keep, default=_DEFAULT_KEEP_KEY_S)


def _ranked(group: int, region: str, members: Iterable[Member]) -> list[Member]:
    local = [member for member in members if member.region == region]
    zones = {member.availability_zone for member in local}
    rank_by_zone = {zone: _rank(group, zone) for zone in zones}
    return sorted(
        local,
        key=lambda member: (rank_by_zone[member.availability_zone], _rank(group, member.host)),
        reverse=True,
    )


def _rank(group: int, name: str) -> bytes:
    return blake2b(f'{group}/{name}'.encode(), digest_size=8).digest()


def _caller_group(caller: str) -> int:
    block = block_of(caller)
    if block is None:
        # The first 48 bits of an IPv6 number take the place of the block.
        digest = blake2b(':'.join(caller.split(':')[:3]).encode(), digest_size=2).digest()
        return int.from_bytes(digest) % _CALLER_GROUPS
    # Multiplying by an odd constant (Knuth) spreads neighbouring blocks over the groups.
    return (block * 2_654_435_761 >> 8) % _CALLER_GROUPS
