"""Which hosts keep a watch on the record."""

from collections.abc import Iterable
from hashlib import blake2b

from balsamrail.membership.member import Member

# Two in each availability zone: one may be failing without being noticed yet. At design size
# these are 62 watches, which cost the store about 2 calls/s.
_WATCHERS_PER_ZONE = 2


def choose_watchers(members: Iterable[Member], *, availability_zone: str) -> list[str]:
    """Return the hosts of a zone that watch, the same on all hosts that know the same members."""
    hosts = [member.host for member in members if member.availability_zone == availability_zone]
    return sorted(hosts, key=_rank, reverse=True)[:_WATCHERS_PER_ZONE]


def _rank(host: str) -> bytes:
    return blake2b(f'watch/record/{host}'.encode(), digest_size=8).digest()
