"""Assigns the hosts that forward changes of the store within their availability zone."""

import math
from collections.abc import Sequence

from balsamrail.membership import Member
from balsamrail.placement.rendezvous_hashing import hash_text, mix_hashes

# In a larger region the watchers are followed only by each other and by the relays, so that their
# traffic does not grow with the region.
_RELAYS_PER_REGION = 15
# Followers of two relays keep receiving changes when one of them is lost.
_SOURCES_PER_HOST = 2
# The largest number of followers of a relay, as a multiple of the mean.
_MAX_LOAD_RATIO = 1.2


class Relays:
    """The relays of a region by availability zone.

    Traffic between availability zones is charged for, so a change crosses zones only on its way
    to the relays::

        relays = Relays(ranked=members_that_do_not_watch)
        relays.order_for(own)  # ['attiki-a-7', 'attiki-a-2', 'attiki-b-3', 'attiki-b-1']

    :param ranked: the hosts of the region that do not watch the store, in a ranking that all
        hosts compute alike.
    """

    __slots__ = ('_followers_by_zone', '_relays_by_zone')

    def __init__(self, *, ranked: Sequence[Member]) -> None:
        hosts_by_zone: dict[str, list[str]] = {}
        for member in ranked:
            hosts_by_zone.setdefault(member.availability_zone, []).append(member.host)
        count = max(_SOURCES_PER_HOST, _RELAYS_PER_REGION // max(1, len(hosts_by_zone)))
        self._relays_by_zone = {zone: hosts[:count] for zone, hosts in hosts_by_zone.items()}
        self._followers_by_zone = {zone: hosts[count:] for zone, hosts in hosts_by_zone.items()}

    def hosts(self) -> list[str]:
        """Return all relays of the region."""
        zones = sorted(self._relays_by_zone)
        return [host for zone in zones for host in self._relays_by_zone[zone]]

    def order_for(self, own: Member) -> list[str]:
        """Return the relays in the order in which a follower should use them.

        Those of its own zone come first, and those of other zones in case that none of these is
        usable.
        """
        local = self._relays_by_zone[own.availability_zone]
        assigned = self._assigned_sources(own.availability_zone)[own.host]
        others = [host for host in local if host not in assigned]
        remote = [host for host in self.hosts() if host not in local]
        return [
            *assigned,
            *shuffled_for(others, follower=own.host),
            *shuffled_for(remote, follower=own.host),
        ]

    def _assigned_sources(self, zone: str) -> dict[str, list[str]]:
        """Return the preferred relays of each follower in a zone.

        This is rendezvous hashing with bounded loads: a follower keeps its relays when others
        come and go, unless a relay would have many more followers than the average.
        """
        relays = self._relays_by_zone[zone]
        followers = self._followers_by_zone[zone]
        mean = _SOURCES_PER_HOST * len(followers) / len(relays)
        room_by_relay = dict.fromkeys(relays, math.ceil(mean * _MAX_LOAD_RATIO))
        sources_by_host = {}
        for follower in followers:
            order = shuffled_for(relays, follower=follower)
            with_room = [relay for relay in order if room_by_relay[relay] > 0]
            full = [relay for relay in order if room_by_relay[relay] <= 0]
            sources_by_host[follower] = [*with_room, *full][:_SOURCES_PER_HOST]
            for relay in sources_by_host[follower]:
                room_by_relay[relay] -= 1
        return sources_by_host


def shuffled_for(hosts: Sequence[str], *, follower: str) -> list[str]:
    """Return hosts in an order that differs from follower to follower."""
    own_hash = hash_text(follower)
    return sorted(hosts, key=lambda host: mix_hashes(own_hash, hash_text(f'relay/{host}')))
