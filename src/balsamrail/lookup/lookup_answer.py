"""The answer to a look-up."""

import json
from collections import Counter
from collections.abc import Iterable, Sequence

from balsamrail.membership.member import Member

_MARK = '\0'
_MOST_IN_ZONE = 3
_MOST_IN_REGION = 4


class LookupAnswer:
    """The hosts for one group of callers, ready to be written with any expiry.

    Only the expiry in the key prefixes differs between callers of the same group, so the text is
    kept in the pieces around it.
    """

    __slots__ = ('_pieces', 'hosts')

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
        self._pieces = json.dumps(body, separators=(',', ':')).split(json.dumps(_MARK)[1:-1])

    def body(self, *, expiry_wall_s: int) -> str:
        """Return the JSON text with key prefixes that are valid until ``expiry_wall_s``."""
        return str(expiry_wall_s).join(self._pieces)


def choose_members(*, members: Iterable[Member], count: int) -> list[Member]:
    """Return ``count`` members in the order given, spread over places as far as there are any.

    At most three are of one availability zone and at most four of one region, so that a caller
    whose availability zone or region is lost still knows a host. Only where that leaves fewer
    than ``count`` do further members of the same places follow. No more of ``members`` is taken
    than needed, since ranking all hosts of a large fleet takes milliseconds.
    """
    in_zone: Counter[str] = Counter()
    in_region: Counter[str] = Counter()
    chosen: list[Member] = []
    passed_over: list[Member] = []
    for member in members:
        zone, region = member.availability_zone, member.region
        if in_zone[zone] >= _MOST_IN_ZONE or in_region[region] >= _MOST_IN_REGION:
            passed_over.append(member)
            continue
        in_zone[zone] += 1
        in_region[region] += 1
        chosen.append(member)
        if len(chosen) == count:
            return chosen
    return [*chosen, *passed_over][:count]


def _entry(member: Member) -> dict[str, str]:
    return {
        'host': member.host,
        'address': member.caller_address,
        'region': member.region,
        'availability_zone': member.availability_zone,
        'key_prefix': f'{member.host}:{member.incarnation}:{_MARK}',
    }
