"""Selection of the hosts that watch the record in the store."""

from collections.abc import Iterable
from hashlib import blake2b

from balsamrail.membership.member import Member

# Two in each availability zone, since one may have failed without being detected yet. At the
# design size this is 62 watches, about 2 store calls/s.
_WATCHERS_PER_ZONE = 2


def choose_watchers(members: Iterable[Member], *, availability_zone: str) -> list[str]:
    """Return the hosts that watch in a zone; equal on all hosts with the same member list."""
    hosts = [member.host for member in members if member.availability_zone == availability_zone]
    return sorted(hosts, key=_rank, reverse=True)[:_WATCHERS_PER_ZONE]


def _rank(host: str) -> bytes:
    return blake2b(f'watch/record/{host}'.encode(), digest_size=8).digest()
