"""The streams to the neighbours on the rings."""

from collections.abc import Callable

from balsamrail.environment import Environment
from balsamrail.membership.failure_detector import FailureDetector
from balsamrail.membership.heartbeat_status import HeartbeatStatus
from balsamrail.membership.members import Members
from balsamrail.membership.peer_streams import PeerStreams
from balsamrail.membership.rings import Rings
from balsamrail.messages import Heartbeat

_IDLE_LIMIT_S = 30


class NeighbourStreams:
    """Chooses the neighbours, sends heartbeats and replaces silent streams.

    :param status: gives the fields of the next heartbeat.
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
        self._rings = Rings(own=environment.settings.host)
        self._sequence = 0
        self._members_changed = True
        self.successors: set[str] = set()
        self.predecessors: set[str] = set()
        members.subscribe(self._note_change)

    def hosts(self) -> list[str]:
        """Return all neighbours, sorted, since the order of a set differs between runs."""
        return sorted(self.successors | self.predecessors)

    def beat(self) -> None:
        """Follow changes of the fleet, send heartbeats and replace what is silent."""
        if self._members_changed:
            self._choose()
        self._send_heartbeats()
        for host in self._detector.silent():
            self._renew(host)
        for host in sorted(self.successors):
            if self._streams.links.opened(host) is None:
                self._renew(host)

    def _choose(self) -> None:
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
            needed = link.host in self.successors or now - link.used_at <= _IDLE_LIMIT_S
            if link.opened and needed:
                if now - link.heard_at > silent_s:
                    self._renew(link.host)
                self._streams.write(link, message)
            elif link.opened or now - link.heard_at > 2 * silent_s:
                # The other side of an accepted stream sends heartbeats as long as it keeps it.
                self._streams.links.drop(link)

    def _renew(self, host: str) -> None:
        if not self._replace_silent:
            self._detector.open_failed(host)
        member = self._members.get(host)
        if member is not None and not self._streams.is_opening(member.peer_address):
            self._streams.spawn(self._replace_stream(host, member.peer_address))

    async def _replace_stream(self, host: str, address: str) -> None:
        link = await self._streams.open(address)
        if link is None or link.host != host:
            self._detector.open_failed(host)
            return
        limit_s = self._environment.settings.limits.suspect_after_s
        heard_before = self._environment.clock.monotonic() - limit_s
        dropped = self._streams.links.drop_silent(host, heard_before=heard_before)
        if dropped:
            self._environment.metrics.count('peer_streams_silent', dropped)
            self._environment.log.event('peer_stream_silent', peer=host)

    def _note_change(self) -> None:
        self._members_changed = True
