"""Decides which hosts watch the platform's store."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from balsamrail.membership import Member
from balsamrail.placement.ranking import hash_text

# Two, so that the others go on hearing of changes while the loss of one is noticed.
_WATCHERS = 2
_SMALL_REGION_HOSTS = 3


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
    a small region all hosts watch.

    :param members: the live members of the fleet.
    :param own: this host.
    :param state_of: what this host knows of a watcher.
    """
    near = [member for member in members if member.region == own.region]
    if len(near) <= _SMALL_REGION_HOSTS:
        return WatchDuty(is_own=True, followed=())
    followed: list[str] = []
    usable = 0
    for member in _in_order(near):
        if member.host == own.host:
            return WatchDuty(is_own=True, followed=())
        followed.append(member.host)
        usable += state_of(member.host) is not WatcherState.failing
        if usable == _WATCHERS:
            break
    return WatchDuty(is_own=False, followed=tuple(followed))


def _in_order(near: list[Member]) -> list[Member]:
    """Return hosts by rank, with the second one from another availability zone if there is one."""
    ranked = sorted(near, key=lambda member: hash_text(f'watch/{member.host}'))
    first, *others = ranked
    second = next((m for m in others if m.availability_zone != first.availability_zone), others[0])
    return [first, second, *(member for member in others if member is not second)]
