"""Membership as seen by this host: merging of updates, suspicion and refutation."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.advertised_members import select_advertised
from balsamrail.membership.gone_quorum import GoneQuorum
from balsamrail.membership.gone_verifier import GoneVerifier
from balsamrail.membership.host_list import HostList
from balsamrail.membership.host_list_policy import HostListPolicy
from balsamrail.membership.incarnations import advanced_beyond
from balsamrail.membership.loss_record import LossRecord
from balsamrail.membership.member import Member
from balsamrail.membership.member_table import MemberTable
from balsamrail.membership.updates import is_valid_state, make_update
from balsamrail.messages import MemberUpdate


class Members:
    """Merges member updates and decides which members are gone.

    It performs no I/O: ``publish`` is called with each update to disseminate, and is set by
    :class:`~balsamrail.membership.peer_network.PeerNetwork`.

    :param grace_period_s: how long evidence has to persist until an incarnation is proven gone, in
        seconds; at least the longest deadline of a request.
    :param observers_needed: how many observers have to suspect a listed member.
    :param panic_mode: whether lookups still return the gone members if they are a majority.
    :param requires_agreement: whether a host unknown here has to be unknown to a peer as well
        before its absence from the host list proves it gone.
    :param is_ready: whether this host serves from the start; otherwise lookups return it only
        after :meth:`announce_ready`.
    :param advances_incarnation: whether this host advances its incarnation when the others know a
        newer one of it, as after a restart with the clock set back. Only for hosts that hold
        nothing under their incarnation.
    :param host_list_policy: how the platform maintains the host list.
    :param loss_record: without it the last host of a fleet never considers the others gone.
    """

    __slots__ = (
        '_advances_incarnation',
        '_advertised',
        '_alive',
        '_environment',
        '_gone_quorum',
        '_listeners',
        '_local_member',
        '_panic_mode',
        '_table',
        'gone_verifier',
        'host_list',
        'publish',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        grace_period_s: float = 60,
        observers_needed: int = 2,
        panic_mode: bool = True,
        requires_agreement: bool = True,
        is_ready: bool = True,
        advances_incarnation: bool = False,
        host_list_policy: HostListPolicy | None = None,
        loss_record: LossRecord | None = None,
    ) -> None:
        settings = environment.settings
        self._environment = environment
        self._panic_mode = panic_mode
        self._advances_incarnation = advances_incarnation
        self._local_member = Member(
            host=settings.host,
            incarnation=environment.incarnation,
            refutation=0,
            state='alive' if is_ready else 'starting',
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
            region=settings.region,
            availability_zone=settings.availability_zone,
        )
        self._table = MemberTable(environment=environment)
        self._alive: list[Member] | None = None
        self._advertised: list[Member] | None = None
        self._listeners: list[Callable[[], None]] = []
        self.publish: Callable[[MemberUpdate], None] = lambda _: None
        self.host_list = HostList(
            environment=environment,
            fleet_size=lambda: len(self._table) + 1,
            policy=host_list_policy or HostListPolicy(),
        )
        self._gone_quorum = GoneQuorum(
            environment=environment,
            table=self._table,
            host_list=self.host_list,
            observers_needed=observers_needed,
            loss_record=loss_record,
        )
        if loss_record is not None:
            loss_record.on_check = self._publish_gone
        self.gone_verifier = GoneVerifier(
            environment=environment,
            table=self._table,
            host_list=self.host_list,
            grace_period_s=grace_period_s,
            requires_agreement=requires_agreement,
        )

    def local_member(self) -> Member:
        """Return this host as announced to the others."""
        return self._local_member

    def get(self, host: str) -> Member | None:
        """Return the newest known incarnation of ``host``, in any state."""
        if host == self._local_member.host:
            return self._local_member
        entry = self._table.get(host)
        return entry.member if entry else None

    def known(self) -> list[Member]:
        """Return all members but this host, in any state."""
        return [entry.member for entry in self._table.entries()]

    def alive(self) -> list[Member]:
        """Return the running members, sorted by host name.

        Starting and suspected members and this host are included.
        """
        if self._alive is None:
            live = [member for member in (self._local_member, *self.known()) if member.is_live()]
            self._alive = sorted(live, key=lambda member: member.host)
        return list(self._alive)

    def advertised(self) -> list[Member]:
        """Return the members that lookups return, the live ones first.

        If more than half of the recent members are gone, the gone ones follow the live ones, see
        :func:`~balsamrail.membership.advertised_members.select_advertised`.
        """
        if self._advertised is None:
            self._advertised = select_advertised(
                live=[member for member in self.alive() if member.state != 'starting'],
                entries=self._table.entries(),
                host_list=self.host_list,
                now=self._environment.clock.monotonic(),
                panic_mode=self._panic_mode,
            )
        return list(self._advertised)

    def is_current(self, holder: str) -> bool:
        """Return whether ``host@incarnation`` is the newest known incarnation and not gone."""
        member = self.get(holder.rpartition('@')[0])
        return member is not None and member.holder == holder and member.state != 'gone'

    @property
    def grace_period_s(self) -> float:
        """How long evidence has to persist until an incarnation is proven gone, in seconds."""
        return self.gone_verifier.grace_period_s

    def extend_grace_period(self, grace_period_s: float) -> None:
        """Raise the grace period to at least the longest deadline of a request."""
        self.gone_verifier.grace_period_s = max(self.gone_verifier.grace_period_s, grace_period_s)

    def is_proven_gone(self, holder: str) -> bool:
        """Return whether ``host@incarnation`` is proven to hold no shares or claims.

        See :class:`~balsamrail.membership.gone_verifier.GoneVerifier`.
        """
        return self.gone_verifier.is_proven_gone(holder)

    def is_listed_as_leaving(self, address: str) -> bool:
        """Return whether the platform lists the host or target at ``address`` as leaving."""
        return self.host_list.is_leaving(address)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change of the member table."""
        self._listeners.append(changed)

    def announce_ready(self) -> None:
        """Announce that this host is ready, so that lookups return it; idempotent."""
        if self._local_member.state == 'starting':
            self._announce_local_state('alive', self._local_member.refutation)

    def announce_degraded(self, is_degraded: bool) -> None:
        """Announce that this host reaches few targets, or that it reaches them again; idempotent."""
        state = 'degraded' if is_degraded else 'alive'
        if self._local_member.is_serving() and self._local_member.state != state:
            self._announce_local_state(state, self._local_member.refutation + 1)

    def announce_leaving(self) -> None:
        """Announce that this host is leaving, so that lookups no longer return it."""
        self._announce_local_state('leaving', self._local_member.refutation)

    def announce_stopped(self) -> None:
        """Announce that this host has stopped: it neither holds nor runs anything."""
        self._announce_local_state('gone', self._local_member.refutation)

    def apply(self, update: MemberUpdate) -> bool:
        """Merge an update and return whether it is new and should be forwarded."""
        if not is_valid_state(update.state):
            return False
        if update.host == self._local_member.host:
            self._refute(update)
            return False
        if self._table.merge(update):
            self._notify()
            return True
        return self._table.add_suspicion(update)

    def is_self_reported(self, host: str) -> bool:
        """Return whether ``host`` announced its current state itself."""
        entry = self._table.get(host)
        return entry is not None and entry.is_self_reported

    def own_suspicions(self) -> dict[str, float]:
        """Return since when this host itself has suspected others, by host."""
        return self._table.suspected_by(self._local_member.host)

    def updates_of(self, host: str) -> list[MemberUpdate]:
        """Return the updates to send about ``host``, one per observer if it is suspected."""
        if host == self._local_member.host:
            return [make_update(self._local_member, observer=host)]
        return self._table.updates_of(host, reporter=self._local_member.host)

    def suspect(self, host: str) -> None:
        """Publish the suspicion that ``host`` does not respond."""
        entry = self._table.get(host)
        if entry is None or entry.member.state == 'gone':
            return
        update = make_update(entry.member, observer=self._local_member.host, state='suspect')
        if self.apply(update):
            self._environment.metrics.count('members_suspected')
            self.publish(update)

    def tick(self) -> None:
        """Evaluate suspicions and expire old entries; called once per heartbeat interval."""
        for host in self._table.expire():
            self.host_list.forget(host)
        self._publish_gone()
        # Panic mode retains lost members from one evaluation to the next, so it has to be
        # evaluated even if there is no lookup.
        self._advertised = None
        self.advertised()

    def compensate_pause(self, paused_s: float) -> None:
        """Exclude the time in which this process was paused from all suspicions."""
        self._table.compensate_pause(paused_s)

    def dump(self) -> dict[str, Any]:
        """Return a diagnostic snapshot."""
        return {
            'own': self._local_member.state,
            'refutation': self._local_member.refutation,
            'state_by_holder': {member.holder: member.state for member in self.known()},
            'host_list': self.host_list.dump(),
        }

    def _announce_local_state(self, state: str, refutation: int) -> None:
        self._local_member = replace(self._local_member, state=state, refutation=refutation)
        self._notify()
        self.publish(make_update(self._local_member, observer=self._local_member.host))

    def _publish_gone(self) -> None:
        own = self._local_member
        for entry in self._table.entries():
            if self._gone_quorum.is_reached(entry, own=own):
                update = make_update(entry.member, observer=own.host, state='gone')
                self.apply(update)
                self.publish(update)
        self._gone_quorum.record_losses(own=own)

    def _refute(self, update: MemberUpdate) -> None:
        own = self._local_member
        is_newer = update.incarnation > own.incarnation
        # If the newer one is alive, two processes share this host name, and neither yields.
        if self._advances_incarnation and is_newer and update.state not in {'alive', 'degraded'}:
            self._advance_incarnation(update.incarnation)
            return
        if update.incarnation != own.incarnation or own.state == 'gone':
            return
        if update.state in {'suspect', 'gone'} and update.refutation >= own.refutation:
            self._environment.log.event('suspicion_refuted', observer=update.observer)
            self._announce_local_state(own.state, update.refutation + 1)

    def _advance_incarnation(self, incarnation: str) -> None:
        advanced = advanced_beyond(incarnation, own=self._local_member.incarnation)
        self._environment.log.event('start_overtaken', known=incarnation, own=advanced)
        self._environment.incarnation = advanced
        self._local_member = replace(self._local_member, incarnation=advanced)
        self._announce_local_state(self._local_member.state, 0)

    def _notify(self) -> None:
        self._alive = None
        self._advertised = None
        for changed in self._listeners:
            changed()
