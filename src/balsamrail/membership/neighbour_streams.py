"""Streams to the ring neighbours."""

from collections.abc import Callable

from balsamrail.environment import Environment
from balsamrail.membership.failure_detector import FailureDetector
from balsamrail.membership.heartbeat_status import HeartbeatStatus
from balsamrail.membership.members import Members
from balsamrail.membership.peer_streams import PeerStreams
from balsamrail.membership.rings import Rings
from balsamrail.messages import Heartbeat

_IDLE_TIMEOUT_S = 30
# Bounds the connections that a host opens at a time to check members that it does not observe.
_MAX_CHECKS = 256


class NeighbourStreams:
    """Selects the neighbours, sends heartbeats and replaces silent streams.

    If many hosts are lost at once, the observers of a lost host may be lost as well. Suspected hosts
    are therefore also left out of the rings: those next to a suspected host check it once it has too
    few observers, and a host that finds half of its neighbours silent checks all others.

    :param status: returns the fields of the next heartbeat.
    :param replace_silent: whether a second connection is tried before a neighbour is suspected.
    """

    __slots__ = (
        '_adjacent_suspects',
        '_detector',
        '_environment',
        '_members',
        '_members_changed',
        '_replace_silent',
        '_rings',
        '_sequence',
        '_status',
        '_streams',
        'predecessors',
        'successors',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        members: Members,
        streams: PeerStreams,
        detector: FailureDetector,
        status: Callable[[], HeartbeatStatus],
        replace_silent: bool,
    ) -> None:
        self._environment = environment
        self._members = members
        self._streams = streams
        self._detector = detector
        self._status = status
        self._replace_silent = replace_silent
        self._rings = Rings(local_host=environment.settings.host)
        # The suspected hosts next to this one on rings without the other suspected ones.
        self._adjacent_suspects: set[str] = set()
        self._sequence = 0
        self._members_changed = True
        self.successors: set[str] = set()
        self.predecessors: set[str] = set()
        members.subscribe(self._mark_changed)

    def hosts(self) -> list[str]:
        """Return all neighbours, sorted so that the order is the same in each run."""
        return sorted(self.successors | self.predecessors)

    def maintain(self) -> None:
        """Update the neighbours, send heartbeats and replace silent streams."""
        self.refresh()
        self._send_heartbeats()
        for host in self._detector.silent_hosts():
            self._reconnect(host)
        for host in sorted(self.successors):
            if self._streams.links.newest_outbound(host) is None:
                self._reconnect(host)
        self._check_others()

    def refresh(self) -> None:
        """Select the neighbours anew if the members have changed."""
        if not self._members_changed:
            return
        self._members_changed = False
        reachable = [member for member in self._members.known() if member.state != 'gone']
        unsuspected = [member.host for member in reachable if member.state != 'suspect']
        suspected = [member.host for member in reachable if member.state == 'suspect']
        self._adjacent_suspects = self._rings.adjacent(suspected, between=unsuspected)
        successors, predecessors = self._rings.neighbours(unsuspected) if suspected else ((), ())
        self.successors, self.predecessors = self._rings.neighbours([*unsuspected, *suspected])
        self.successors.update(successors)
        self.predecessors.update(predecessors)
        self._detector.watch(self.hosts())

    def _check_others(self) -> None:
        """Check members that this host does not observe, if their observers may be lost."""
        checked = set(self._adjacent_suspects)
        silent = self._detector.silent_hosts()
        if silent and len(silent) * 2 >= len(self.hosts()):
            checked = {member.host for member in self._members.known() if member.state != 'gone'}
        checked -= self._members.own_suspicions().keys()
        due = [host for host in sorted(checked) if self._is_check_due(host)]
        for host in due[:_MAX_CHECKS]:
            self._streams.spawn(self._check(host))

    def _is_check_due(self, host: str) -> bool:
        member = self._members.get(host)
        if member is None or self._streams.is_opening(member.peer_address):
            return False
        link = self._streams.links.newest(host)
        limit_s = self._environment.settings.limits.suspect_after_s
        heard_after = self._environment.clock.monotonic() - limit_s
        return link is None or link.last_received_at <= heard_after

    async def _check(self, host: str) -> None:
        member = self._members.get(host)
        link = None if member is None else await self._streams.open(member.peer_address)
        if link is None or link.host != host:
            self._members.suspect(host)

    def _send_heartbeats(self) -> None:
        self._sequence += 1
        status = self._status()
        message = Heartbeat(
            sequence=self._sequence,
            record_number=status.record_number,
            epoch_by_region=status.epoch_by_region,
            spare_by_resource=status.spare_by_resource,
        )
        now = self._environment.clock.monotonic()
        silent_s = self._environment.settings.limits.suspect_after_s
        for link in self._streams.links:
            needed = link.host in self.successors or now - link.last_used_at <= _IDLE_TIMEOUT_S
            if link.is_outbound and needed:
                if now - link.last_received_at > silent_s:
                    self._reconnect(link.host)
                self._streams.write(link, message)
            elif link.is_outbound or now - link.last_received_at > 2 * silent_s:
                # The peer sends heartbeats on an accepted stream for as long as it needs the stream.
                self._streams.links.drop(link)

    def _reconnect(self, host: str) -> None:
        if not self._replace_silent:
            self._detector.report_open_failure(host)
        member = self._members.get(host)
        if member is not None and not self._streams.is_opening(member.peer_address):
            self._streams.spawn(self._replace_stream(host, member.peer_address))

    async def _replace_stream(self, host: str, address: str) -> None:
        link = await self._streams.open(address)
        if link is None or link.host != host:
            self._detector.report_open_failure(host)
            return
        limit_s = self._environment.settings.limits.suspect_after_s
        received_before = self._environment.clock.monotonic() - limit_s
        dropped = self._streams.links.drop_silent(host, received_before=received_before)
        if dropped:
            self._environment.metrics.count('peer_streams_silent', dropped)
            self._environment.log.event('peer_stream_silent', peer=host)

    def _mark_changed(self) -> None:
        self._members_changed = True
