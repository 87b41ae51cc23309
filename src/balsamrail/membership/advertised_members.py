"""Selects the members that lookups return, including the panic mode for large failures."""

from collections.abc import Collection

from balsamrail.membership.host_list import HostList
from balsamrail.membership.member import Member
from balsamrail.membership.member_entry import MemberEntry

PANIC_WINDOW_S = 60


def select_advertised(
    *,
    live: list[Member],
    entries: Collection[MemberEntry],
    host_list: HostList,
    now: float,
    panic_mode: bool,
) -> list[Member]:
    """Return the live members, followed by the lost ones while panic mode is active.

    Panic mode is active while the lost members outnumber the live ones, since a failure that
    large is more likely a fault of observation. A member is lost if it became ``gone`` within
    ``PANIC_WINDOW_S``, or was retained by the previous call, unless it announced that state
    itself or is also missing from the platform's host list: a failure that two independent
    sources report is accepted.
    """
    lost = [
        entry
        for entry in entries
        if entry.member.state == 'gone'
        and not entry.is_self_reported
        and (entry.retained_in_panic or now - entry.state_since < PANIC_WINDOW_S)
        and not host_list.is_unlisted(entry.member.host)
    ]
    panic = panic_mode and len(lost) > len(live)
    for entry in entries:
        entry.retained_in_panic = False
    for entry in lost:
        entry.retained_in_panic = panic
    if not panic:
        return live
    return live + [lost_entry.member for lost_entry in lost]
