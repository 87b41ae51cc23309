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


class NeighbourStreams:
    """Selects the neighbours, sends heartbeats and replaces silent streams.

    :param status: returns the fields of the next heartbeat.
    :param replace_silent: whether a second connection is tried before a neighbour is suspected.
    """

    __slots__ = (
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
        if self._members_changed:
            self._update_neighbours()
        self._send_heartbeats()
        for host in self._detector.silent_hosts():
            self._reconnect(host)
        for host in sorted(self.successors):
            if self._streams.links.newest_outbound(host) is None:
                self._reconnect(host)

    def _update_neighbours(self) -> None:
        self._members_changed = False
        reachable = [member.host for member in self._members.known() if member.state != 'gone']
        self.successors, self.predecessors = self._rings.neighbours(reachable)
        self._detector.watch(self.hosts())

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
