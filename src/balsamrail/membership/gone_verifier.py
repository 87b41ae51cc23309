"""Verifies that an incarnation no longer holds shares or claims."""

from balsamrail.environment import Environment
from balsamrail.membership.host_list import HostList
from balsamrail.membership.incarnations import started_ms
from balsamrail.membership.member_entry import MemberEntry
from balsamrail.membership.member_table import MemberTable

_MS_PER_S = 1_000


class GoneVerifier:
    """Decides which incarnations are proven gone, once evidence persists for ``grace_period_s``.

    An incarnation is proven gone by a newer incarnation of the same host, by the host's own
    announcement that it has stopped, or by the ``gone`` state reached by its observers together
    with its absence from the platform's host list.

    A host without an entry in the member table sent no heartbeat or update since this host
    started, or since its entry expired an hour after it became ``gone``. It is judged by its
    absence from the host list, since all its observers may be gone as well. The list may omit a
    live host that this host has not met, for example because this host just started or is
    partitioned. Therefore at least two responses have to omit the host, and they count only up to
    the last time when a peer's member table agreed with this one.

    :param grace_period_s: how long evidence has to persist, in seconds.
    :param requires_agreement: whether a peer's table has to agree that a host is unknown.
    """

    __slots__ = (
        '_environment',
        '_host_list',
        '_last_agreement_at',
        '_requires_agreement',
        '_table',
        'grace_period_s',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        table: MemberTable,
        host_list: HostList,
        grace_period_s: float,
        requires_agreement: bool = True,
    ) -> None:
        self._environment = environment
        self._table = table
        self._host_list = host_list
        self.grace_period_s = grace_period_s
        self._requires_agreement = requires_agreement
        self._last_agreement_at = environment.clock.monotonic()

    def record_agreement(self) -> None:
        """Record that a peer's member table is now equal to that of this host."""
        self._last_agreement_at = self._environment.clock.monotonic()

    def is_proven_gone(self, holder: str) -> bool:
        """Return whether ``host@incarnation`` is proven gone.

        Earlier incarnations of this host itself are proven gone ``grace_period_s`` after its
        start.
        """
        host, _, incarnation = holder.rpartition('@')
        if host == self._environment.settings.host:
            return self._is_expired_own_incarnation(incarnation)
        entry = self._table.get(host)
        if entry is None:
            return self._is_absent(host, until=self._last_agreement_at)
        if incarnation != entry.member.incarnation:
            is_older = incarnation < entry.member.incarnation
            return is_older and self._has_grace_elapsed(entry.incarnation_since)
        return self._is_gone(entry)

    def has_stopped(self, host: str) -> bool:
        """Return whether the newest incarnation of ``host`` announced that it has stopped."""
        entry = self._table.get(host)
        return entry is not None and entry.member.state == 'gone' and entry.is_self_reported

    def _is_gone(self, entry: MemberEntry) -> bool:
        if entry.member.state != 'gone' or not self._has_grace_elapsed(entry.state_since):
            return False
        now = self._environment.clock.monotonic()
        return entry.is_self_reported or self._is_absent(entry.member.host, until=now)

    def _is_expired_own_incarnation(self, incarnation: str) -> bool:
        own = self._environment.incarnation
        started_s = started_ms(own) / _MS_PER_S
        lasted_s = self._environment.clock.wall() - started_s
        return incarnation < own and lasted_s >= self.grace_period_s

    def _is_absent(self, host: str, *, until: float) -> bool:
        if not self._requires_agreement:
            until = self._environment.clock.monotonic()
        return self._host_list.absence_s(host, until=until) >= self.grace_period_s

    def _has_grace_elapsed(self, since: float) -> bool:
        return self._environment.clock.monotonic() - since >= self.grace_period_s
