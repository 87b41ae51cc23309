"""The member table and the merging of updates into it."""

from balsamrail.environment import Environment
from balsamrail.membership.advertised_members import PANIC_WINDOW_S
from balsamrail.membership.member_entry import MemberEntry
from balsamrail.membership.updates import make_update, member_from_update, update_order
from balsamrail.messages import MemberUpdate

# Outdated updates of a gone member may still arrive and must not add it again.
_GONE_RETENTION_S = 3_600


class MemberTable:
    """Entries of the other hosts; the highest update of a host wins, in any order of arrival.

    :param environment: provides the clock and the log.
    """

    __slots__ = ('_entry_by_host', '_environment')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._entry_by_host: dict[str, MemberEntry] = {}

    def __len__(self) -> int:
        return len(self._entry_by_host)

    def get(self, host: str) -> MemberEntry | None:
        """Return the entry of a host."""
        return self._entry_by_host.get(host)

    def entries(self) -> list[MemberEntry]:
        """Return all entries."""
        return list(self._entry_by_host.values())

    def updates_of(self, host: str, *, reporter: str) -> list[MemberUpdate]:
        """Return the updates that ``reporter`` sends about ``host``."""
        entry = self._entry_by_host.get(host)
        if entry is None:
            return []
        if entry.member.state == 'suspect':
            return [
                make_update(entry.member, observer=observer)
                for observer in entry.suspected_at_by_observer
            ]
        observer = host if entry.is_self_reported else reporter
        return [make_update(entry.member, observer=observer)]

    def merge(self, update: MemberUpdate) -> bool:
        """Apply an update that is higher than the known state; return whether it was."""
        entry = self._entry_by_host.get(update.host)
        if entry is not None and update_order(update) <= update_order(entry.member):
            return False
        now = self._environment.clock.monotonic()
        member = member_from_update(update)
        if entry is None:
            # A member first learned as gone does not count as a recent loss in panic mode.
            since = now - PANIC_WINDOW_S if member.state == 'gone' else now
            entry = MemberEntry(member=member, state_since=since, incarnation_since=now)
            self._entry_by_host[member.host] = entry
        elif entry.member.incarnation != member.incarnation:
            entry.incarnation_since = now
        if entry.member.state != member.state:
            entry.state_since = now
            self._environment.log.event(
                'member_changed',
                member=member.host,
                state=member.state,
                observer=update.observer,
            )
        if update_order(entry.member)[:2] != update_order(member)[:2]:
            entry.suspected_at_by_observer.clear()
        entry.member = member
        entry.is_self_reported = update.observer == member.host
        self.add_suspicion(update)
        return True

    def add_suspicion(self, update: MemberUpdate) -> bool:
        """Record an observer's suspicion of the known state; return whether it was new."""
        entry = self._entry_by_host[update.host]
        known = entry.member
        same = (known.incarnation, known.refutation) == (update.incarnation, update.refutation)
        suspected_at = entry.suspected_at_by_observer
        if update.state != 'suspect' or not same or known.state not in {'suspect', 'leaving'}:
            return False
        if update.observer in suspected_at:
            return False
        suspected_at[update.observer] = self._environment.clock.monotonic()
        return True

    def suspected_by(self, observer: str) -> dict[str, float]:
        """Return since when ``observer`` has suspected others, by host."""
        return {
            host: entry.suspected_at_by_observer[observer]
            for host, entry in self._entry_by_host.items()
            if entry.member.state == 'suspect' and observer in entry.suspected_at_by_observer
        }

    def compensate_pause(self, paused_s: float) -> None:
        """Shift all suspicions by the time in which this process was paused."""
        for entry in self._entry_by_host.values():
            for observer in entry.suspected_at_by_observer:
                entry.suspected_at_by_observer[observer] += paused_s

    def expire(self) -> list[str]:
        """Remove members that became gone long ago and return their host names."""
        oldest = self._environment.clock.monotonic() - _GONE_RETENTION_S
        expired = [
            host
            for host, entry in self._entry_by_host.items()
            if entry.member.state == 'gone'
            and entry.state_since < oldest
            and not entry.retained_in_panic
        ]
        for host in expired:
            self._entry_by_host.pop(host)
        return expired
