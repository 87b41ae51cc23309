"""Decides whether enough observers suspect a member to consider it gone."""

from balsamrail.environment import Environment
from balsamrail.membership.host_list import HostList
from balsamrail.membership.loss_record import LossRecord, loss_id
from balsamrail.membership.member import Member
from balsamrail.membership.member_entry import MemberEntry
from balsamrail.membership.member_table import MemberTable

# Hosts that do not observe a member wait longer, in case the observers' update was lost.
_NON_OBSERVER_DELAY_S = 3
# By then the other side of a partition has agreed on the loss of this host and recorded it.
_LONE_DELAY_S = 1.25
# Hosts that record a loss, in case that one of them has just been lost as well.
_RECORDING_HOSTS = 2
# The second finds the record of the first in the store; both come before _LONE_DELAY_S.
_NEXT_RECORDER_DELAY_S = 0.5
_RECORDED_FOR_S = 300


class GoneQuorum:
    """Counts the observers whose suspicion of a member has persisted.

    Two observers have to agree, since one may itself be cut off. A host that suspects all others
    has nobody left to agree with, and decides alone. It does so only if it reaches targets, and if
    the store answers and has no record that the others have agreed on the loss of this host.
    Otherwise this host is more likely cut off itself.

    :param observers_needed: how many observers have to suspect a listed member.
    :param loss_record: the agreed losses; without it no host decides alone.
    """

    __slots__ = ('_environment', '_host_list', '_loss_record', '_observers_needed', '_table')

    def __init__(
        self,
        *,
        environment: Environment,
        table: MemberTable,
        host_list: HostList,
        observers_needed: int,
        loss_record: LossRecord | None,
    ) -> None:
        self._environment = environment
        self._table = table
        self._host_list = host_list
        self._observers_needed = observers_needed
        self._loss_record = loss_record

    def is_reached(self, entry: MemberEntry, *, own: Member) -> bool:
        """Return whether a member is to be considered gone.

        :param own: this host.
        """
        suspected_at = entry.suspected_at_by_observer
        if entry.member.state == 'gone' or not suspected_at:
            return False
        now = self._environment.clock.monotonic()
        wait_s = self._environment.settings.limits.gone_after_s
        if own.host not in suspected_at:
            wait_s += _NON_OBSERVER_DELAY_S
        confirmations = sum(now - since >= wait_s for since in suspected_at.values())
        unlisted = self._host_list.is_unlisted(entry.member.host)
        if confirmations >= (1 if unlisted else self._observers_needed):
            return True
        return self._is_reached_alone(entry, own, now)

    def record_losses(self, *, own: Member) -> None:
        """Record the losses that this host and others agree on."""
        if self._loss_record is None:
            return
        oldest = self._environment.clock.monotonic() - _RECORDED_FOR_S
        losses = [
            loss_id(entry.member)
            for entry in self._table.entries()
            if entry.member.state == 'gone'
            and not entry.is_self_reported
            and entry.state_since >= oldest
        ]
        others = self._unsuspected_others() if losses else []
        recorders = sorted([own.host, *others])[:_RECORDING_HOSTS]
        if others and own.host in recorders:
            delay_s = recorders.index(own.host) * _NEXT_RECORDER_DELAY_S
            self._loss_record.report(losses, delay_s=delay_s)

    def _is_reached_alone(self, entry: MemberEntry, own: Member, now: float) -> bool:
        suspected_at = entry.suspected_at_by_observer.get(own.host)
        if suspected_at is None or self._loss_record is None or own.state == 'degraded':
            return False
        due_at = suspected_at + self._environment.settings.limits.gone_after_s + _LONE_DELAY_S
        if now < due_at or self._unsuspected_others():
            return False
        if self._loss_record.is_unrecorded(own, since=due_at):
            return True
        self._loss_record.request_check()
        return False

    def _unsuspected_others(self) -> list[str]:
        return [
            entry.member.host for entry in self._table.entries() if entry.member.is_unsuspected()
        ]
