"""The response to a lookup."""

import json
from collections import Counter
from collections.abc import Iterable, Sequence

from balsamrail.membership.member import Member

_EXPIRY_PLACEHOLDER = '\0'
_MAX_HOSTS_PER_ZONE = 3
_MAX_HOSTS_PER_REGION = 4


class LookupResponse:
    """A serialized lookup response for one group of callers, into which any expiry is inserted.

    Responses to callers of the same group differ only in the expiry of the key prefixes, so the
    JSON text is stored as the segments around it.
    """

    __slots__ = ('_segments', 'hosts')

    def __init__(
        self, *, service: str, revision: int, ttl_s: float, members: Sequence[Member]
    ) -> None:
        self.hosts = tuple(member.host for member in members)
        body = {
            'service': service,
            'revision': revision,
            'ttl_s': ttl_s,
            'hosts': [_entry(member) for member in members],
        }
        self._segments = json.dumps(body, separators=(',', ':')).split(
            json.dumps(_EXPIRY_PLACEHOLDER)[1:-1]
        )

    def body(self, *, expiry_wall_s: int) -> str:
        """Return the JSON text with key prefixes that are valid until ``expiry_wall_s``."""
        return str(expiry_wall_s).join(self._segments)


def select_members(*, members: Iterable[Member], count: int) -> list[Member]:
    """Return ``count`` members in the given order, spread over availability zones and regions.

    At most three are of one availability zone and at most four of one region, so that a caller
    still knows a host after the loss of an availability zone or region. The limits are exceeded
    only if fewer than ``count`` members meet them. ``members`` is consumed no further than
    needed, because ranking all hosts of a large fleet takes milliseconds.
    """
    in_zone: Counter[str] = Counter()
    in_region: Counter[str] = Counter()
    selected: list[Member] = []
    deferred: list[Member] = []
    for member in members:
        zone, region = member.availability_zone, member.region
        if in_zone[zone] >= _MAX_HOSTS_PER_ZONE or in_region[region] >= _MAX_HOSTS_PER_REGION:
            deferred.append(member)
            continue
        in_zone[zone] += 1
        in_region[region] += 1
        selected.append(member)
        if len(selected) == count:
            return selected
    return [*selected, *deferred][:count]


def _entry(member: Member) -> dict[str, str]:
    return {
        'host': member.host,
        'address': member.caller_address,
        'region': member.region,
        'availability_zone': member.availability_zone,
        'key_prefix': f'{member.host}:{member.incarnation}:{_EXPIRY_PLACEHOLDER}',
    }
