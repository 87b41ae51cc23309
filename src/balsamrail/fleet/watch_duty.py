"""Decides which hosts watch the platform's store."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from balsamrail.membership import Member
from balsamrail.placement.ranking import hash_text, mixed

# Two, so that the others go on hearing of changes while the loss of one is noticed.
_WATCHERS = 2
_SMALL_REGION_HOSTS = 3
# So many hosts follow the watchers; in larger regions the others follow two of these, so that what a
# host sends does not grow with the region.
_RELAYS = 16


class WatcherState(Enum):
    """What a host knows of another one that should watch the store."""

    sound = 'sound'
    pending = 'pending'
    failing = 'failing'


@dataclass(slots=True, kw_only=True, frozen=True)
class WatchDuty:
    """Whether this host watches the store itself, and whom it follows otherwise."""

    is_own: bool
    followed: tuple[str, ...]


def assign_duty(
    members: Sequence[Member],
    *,
    own: Member,
    state_of: Callable[[str], WatcherState],
) -> WatchDuty:
    """Return the duty of a host.

    Each call to the store is paid for, and its rates grow more slowly than the fleet, so that
    not every host can watch. The first two hosts of a region in an order that all agree on do,
    and tell the others; where one of them does not hear from the store, the next one steps in. In
    a small region all hosts watch. In a large one, the next hosts in the order follow the watchers
    and tell the rest.

    :param members: the live members of the fleet.
    :param own: this host.
    :param state_of: what this host knows of a watcher.
    """
    near = [member for member in members if member.region == own.region]
    if len(near) <= _SMALL_REGION_HOSTS:
        return WatchDuty(is_own=True, followed=())
    order = [member.host for member in _in_order(near)]
    watchers = _usable(order, state_of)
    if own.host in watchers:
        return WatchDuty(is_own=True, followed=())
    relays = [host for host in order if host not in watchers][:_RELAYS]
    if own.host in relays:
        return WatchDuty(is_own=False, followed=watchers)
    own_hash = hash_text(own.host)
    relays.sort(key=lambda host: mixed(own_hash, hash_text(f'relay/{host}')))
    return WatchDuty(is_own=False, followed=_usable(relays, state_of))


def _usable(order: Sequence[str], state_of: Callable[[str], WatcherState]) -> tuple[str, ...]:
    """Return the first hosts up to the second one that does not fail, failing ones included."""
    count = 0
    for position, host in enumerate(order):
        count += state_of(host) is not WatcherState.failing
        if count == _WATCHERS:
            return tuple(order[: position + 1])
    return tuple(order)


def _in_order(near: list[Member]) -> list[Member]:
    """Return hosts by rank, with the second one from another availability zone if there is one."""
    ranked = sorted(near, key=lambda member: hash_text(f'watch/{member.host}'))
    first, *others = ranked
    second = next((m for m in others if m.availability_zone != first.availability_zone), others[0])
    return [first, second, *(member for member in others if member is not second)]
