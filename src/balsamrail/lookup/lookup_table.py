"""Selects the hosts of lookup responses."""

import math
from collections.abc import Iterable
from hashlib import blake2b
from typing import Protocol

from balsamrail.configuration import Declaration, Service
from balsamrail.environment import Environment
from balsamrail.errors import NotReadyError, UnknownServiceError
from balsamrail.lookup.block_map import block_number
from balsamrail.lookup.block_sync import BlockSync
from balsamrail.lookup.lookup_response import LookupResponse, select_members
from balsamrail.membership.member import Member

_HOSTS_PER_RESPONSE = 5
_CALLER_GROUPS = 4_096
_MAX_CACHED_RESPONSES = 20_000
# Maximum delay until a host that became alive is advertised; leaving hosts are checked each time.
_MEMBER_CACHE_TTL_S = 0.1
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


_ResponseKey = tuple[str, int, int, tuple[str, ...]]


class LookupTable:
    """Creates and caches the responses to lookups.

    Callers are grouped by a hash of their /24 block. The order of hosts is computed by rendezvous
    hashing once for each group and cached until the members change, so that a response costs
    little more than the HTTP exchange.
    """

    __slots__ = (
        '_blocks',
        '_cached_members',
        '_environment',
        '_members',
        '_members_valid_until',
        '_response_by_key',
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
        self._response_by_key: dict[_ResponseKey, LookupResponse] = {}
        self._cached_members: list[Member] = []
        self._members_valid_until = -math.inf

    def response_body(self, *, service: str, caller: str) -> str:
        """Return the response body for a caller, given by IP address.

        :raises UnknownServiceError: if the declaration has no such service.
        :raises NotReadyError: if no declaration is active or no host is available.
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
        expiry = self._environment.clock.wall() + self._key_lifetime_s(declared)
        return self._cached_response(key).body(expiry_wall_s=int(expiry))

    def is_leaving(self, host: str) -> bool:
        """Return whether a host must not be included in responses."""
        member = self._members.get(host)
        return member is not None and member.state == 'leaving'

    def _cached_response(self, key: _ResponseKey) -> LookupResponse:
        self._refresh_members()
        response = self._response_by_key.get(key)
        if response is not None and any(self.is_leaving(host) for host in response.hosts):
            self._members_valid_until = -math.inf
            self._refresh_members()
            response = None
        if response is None:
            response = self._build_response(key)
            if len(self._response_by_key) >= _MAX_CACHED_RESPONSES:
                self._response_by_key.clear()
            self._response_by_key[key] = response
        return response

    def _build_response(self, key: _ResponseKey) -> LookupResponse:
        service, revision, group, order = key
        members = [member for member in self._cached_members if not self.is_leaving(member.host)]
        if not members:
            raise NotReadyError(detail='no host is available yet')
        candidates = [member for member in members if member.region in order] or members
        regions = order if candidates is not members else {member.region for member in members}
        selected = select_members(
            members=(
                member for region in regions for member in _sort_by_rank(group, region, candidates)
            ),
            count=_HOSTS_PER_RESPONSE,
        )
        return LookupResponse(
            service=service,
            revision=revision,
            ttl_s=self._environment.settings.limits.lookup_ttl_s,
            members=selected,
        )

    def _refresh_members(self) -> None:
        now = self._environment.clock.monotonic()
        if now < self._members_valid_until:
            return
        self._members_valid_until = now + _MEMBER_CACHE_TTL_S
        advertised = self._members.advertised()
        if advertised != self._cached_members:
            self._cached_members = advertised
            self._response_by_key.clear()

    def _key_lifetime_s(self, service: Service) -> float:
        keep = (route.keep_key_s for route in service.routes if not route.idempotent)
        ttl = self._environment.settings.limits.lookup_ttl_s
        return ttl + max(keep, default=_DEFAULT_KEEP_KEY_S)


def _sort_by_rank(group: int, region: str, members: Iterable[Member]) -> list[Member]:
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
    block = block_number(caller)
    if block is None:
        # The first 48 bits of an IPv6 address replace the block.
        digest = blake2b(':'.join(caller.split(':')[:3]).encode(), digest_size=2).digest()
        return int.from_bytes(digest) % _CALLER_GROUPS
    # Multiplicative hashing with an odd constant (Knuth) spreads adjacent blocks over the groups.
    return (block * 2_654_435_761 >> 8) % _CALLER_GROUPS
