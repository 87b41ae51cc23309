"""Assigns which hosts watch the platform's store and which follow them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from balsamrail.fleet.reader_role import ReaderRole
from balsamrail.fleet.relays import Relays, shuffled_for
from balsamrail.membership import Member
from balsamrail.placement.rendezvous_hashing import hash_text

# Two, so that the other hosts keep receiving changes until the loss of one watcher is detected.
_WATCHERS_PER_REGION = 2
_MAX_SMALL_REGION_HOSTS = 3
# In a region with more hosts that do not watch, most of them follow relays.
_MAX_DIRECT_FOLLOWERS = 15


class WatcherState(Enum):
    """State of an assigned source as seen by a host."""

    # It receives changes directly from the store.
    sound = 'sound'
    # It receives changes of the store only through other hosts.
    relaying = 'relaying'
    # It has not been without contact for long enough to be replaced.
    pending = 'pending'
    # It has been without contact to the store for longer than the failover delay.
    failing = 'failing'


_UNUSABLE_RELAY_STATES = frozenset((WatcherState.failing,))
# A relaying watcher may depend on the host next in rank, which must then keep its assignment.
_UNUSABLE_WATCHER_STATES = _UNUSABLE_RELAY_STATES | {WatcherState.relaying}


@dataclass(slots=True, kw_only=True, frozen=True)
class WatchAssignment:
    """Whether this host watches the store itself, and which hosts it follows.

    Watchers follow each other, since the store may refuse some hosts and serve others.

    :param is_standby: whether other hosts watch the store unless they fail.
    :param earlier_watchers: the watchers that precede this one in the ranking.
    """

    is_watcher: bool
    sources: tuple[str, ...]
    is_standby: bool = True
    earlier_watchers: tuple[str, ...] = ()

    def reader_role(self, state_of: Callable[[str], WatcherState]) -> ReaderRole:
        """Return the part in reading the store of a host that receives all changes directly."""
        if not self.is_watcher:
            return ReaderRole.follower
        if any(state_of(host) is WatcherState.sound for host in self.earlier_watchers):
            return ReaderRole.reserve
        return ReaderRole.first


def assign_watch(
    members: Sequence[Member],
    *,
    own: Member,
    state_of: Callable[[str], WatcherState],
) -> WatchAssignment:
    """Return the assignment of a host.

    Calls to the store are charged, and its rate limits grow more slowly than the fleet, so that
    not every host can watch it. The first two hosts of a region, in a ranking that all hosts
    compute alike, are its watchers and forward changes to the others. If one of them has no
    contact to the store, the host next in rank replaces it. In a small region all hosts watch.
    Watchers also follow each other. In a large region the hosts next in rank in each availability
    zone are relays, which follow the watchers and forward changes to the rest of the zone.

    :param members: the live members of the fleet.
    :param own: this host.
    :param state_of: returns the state of a host as a source.
    """
    local = [member for member in members if member.region == own.region]
    if len(local) <= _MAX_SMALL_REGION_HOSTS:
        sources = tuple(member.host for member in local if member.host != own.host)
        earlier = _before(own.host, [member.host for member in _ranked(local)])
        return WatchAssignment(
            is_watcher=True, sources=sources, is_standby=False, earlier_watchers=earlier
        )
    ranked = _ranked(local)
    order = [member.host for member in ranked]
    watchers = _take_usable(order, state_of, unusable=_UNUSABLE_WATCHER_STATES)
    if own.host in watchers:
        sources = tuple(host for host in watchers if host != own.host)
        is_standby = own.host not in order[:_WATCHERS_PER_REGION]
        return WatchAssignment(
            is_watcher=True,
            sources=sources,
            is_standby=is_standby,
            earlier_watchers=_before(own.host, watchers),
        )
    followers = [member for member in ranked if member.host not in watchers]
    relays = Relays(ranked=followers)
    if len(followers) <= _MAX_DIRECT_FOLLOWERS or own.host in relays.hosts():
        return WatchAssignment(is_watcher=False, sources=watchers)
    sources = _take_usable(relays.order_for(own), state_of, unusable=_UNUSABLE_RELAY_STATES)
    return WatchAssignment(is_watcher=False, sources=sources)


def remote_sources(
    members: Sequence[Member],
    *,
    own: Member,
    state_of: Callable[[str], WatcherState],
) -> tuple[str, ...]:
    """Return the hosts of other regions to follow while the own region has no current source.

    Followers are spread over the watchers and relays of each region.
    """
    sources: list[str] = []
    for region in sorted({member.region for member in members} - {own.region}):
        ranked = _ranked([member for member in members if member.region == region])
        watchers = [member.host for member in ranked[:_WATCHERS_PER_REGION]]
        relays = Relays(ranked=ranked[_WATCHERS_PER_REGION:])
        order = shuffled_for([*watchers, *relays.hosts()], follower=own.host)
        sources.extend(_take_usable(order, state_of, unusable=_UNUSABLE_RELAY_STATES, limit=1))
    return tuple(sources)


def backup_sources(
    members: Sequence[Member],
    *,
    own: Member,
    state_of: Callable[[str], WatcherState],
) -> tuple[str, ...]:
    """Return the hosts of other regions that a watcher always follows besides those of its own.

    Both watchers of a region may lose the store at the same time, and a store that does not
    answer is noticed only after seconds. Each of the two therefore also follows a watcher of
    another region, not of the same one if there are several.
    """
    local = _ranked([member for member in members if member.region == own.region])
    hosts = [member.host for member in local[:_WATCHERS_PER_REGION]]
    if own.host not in hosts:
        return ()
    order: list[str] = []
    for region in _other_regions(members, own, is_reversed=own.host != hosts[0]):
        watchers = _ranked([member for member in members if member.region == region])
        order.extend(member.host for member in watchers[:_WATCHERS_PER_REGION])
    return _take_usable(order, state_of, unusable=_UNUSABLE_WATCHER_STATES, limit=1)


def _other_regions(members: Sequence[Member], own: Member, *, is_reversed: bool) -> list[str]:
    """Return the other regions in a cyclic order that begins next to the own one."""
    regions = sorted({member.region for member in members}, reverse=is_reversed)
    position = regions.index(own.region)
    return [*regions[position + 1 :], *regions[:position]]


def _take_usable(
    order: Sequence[str],
    state_of: Callable[[str], WatcherState],
    *,
    unusable: frozenset[WatcherState],
    limit: int = _WATCHERS_PER_REGION,
) -> tuple[str, ...]:
    """Return the shortest prefix of ``order`` with ``limit`` usable hosts, or all of ``order``."""
    count = 0
    for position, host in enumerate(order):
        count += state_of(host) not in unusable
        if count == limit:
            return tuple(order[: position + 1])
    return tuple(order)


def _before(host: str, order: Sequence[str]) -> tuple[str, ...]:
    """Return the hosts that precede ``host``, none if it is not in the order."""
    return tuple(order[: order.index(host)]) if host in order else ()


def _ranked(members: list[Member]) -> list[Member]:
    """Rank hosts, placing a host of a second availability zone second if there is one."""
    ranked = sorted(members, key=lambda member: hash_text(f'watch/{member.host}'))
    if len(ranked) < _WATCHERS_PER_REGION:
        return ranked
    first, *others = ranked
    second = next((m for m in others if m.availability_zone != first.availability_zone), others[0])
    return [first, second, *(member for member in others if member is not second)]
