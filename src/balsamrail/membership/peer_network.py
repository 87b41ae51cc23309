"""The peer streams of one host, as the other modules use them."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.failure_detector import FailureDetector
from balsamrail.membership.flood_filter import FloodFilter, Version
from balsamrail.membership.flood_key import flood_key
from balsamrail.membership.heartbeat_status import HeartbeatStatus
from balsamrail.membership.members import Members
from balsamrail.membership.network import MessageT
from balsamrail.membership.peer_link import PeerLink
from balsamrail.membership.peer_streams import PeerStreams
from balsamrail.membership.repair import choose_contacts, choose_reminder
from balsamrail.membership.rings import Rings
from balsamrail.membership.stream import Stream
from balsamrail.membership.tcp_transport import TcpTransport
from balsamrail.membership.transport import Transport
from balsamrail.membership.updates import update_from_hello, update_order
from balsamrail.messages import Heartbeat, HeartbeatAck, Hello, MemberUpdate, Message
from balsamrail.store import Store

_IDLE_LIMIT_S = 30


class PeerNetwork:
    """Keeps streams to the neighbours on the rings, and to other hosts while they are needed.

    Implements :class:`~balsamrail.membership.network.Network`. ``status`` gives the fields of
    the next heartbeat. ``excluded`` tells which listed addresses are no entry hosts.

    :param replace_silent: whether a second connection is tried before a neighbour is suspected.
    """

    __slots__ = (
        '_arriving_from',
        '_detector',
        '_environment',
        '_filter',
        '_members',
        '_members_changed',
        '_predecessors',
        '_receivers_by_kind',
        '_replace_silent',
        '_rings',
        '_sequence',
        '_store',
        '_streams',
        '_successors',
        'excluded',
        'status',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        members: Members,
        store: Store,
        transport: Transport | None = None,
        detector: FailureDetector | None = None,
        replace_silent: bool = True,
    ) -> None:
        self._environment = environment
        self._members = members
        self._store = store
        self._detector = detector or FailureDetector(environment=environment, members=members)
        self._replace_silent = replace_silent
        self._filter = FloodFilter()
        self._rings = Rings(own=environment.settings.host)
        self._successors: set[str] = set()
        self._predecessors: set[str] = set()
        self._members_changed = True
        self._receivers_by_kind: dict[type[Any], list[Callable[[str, Any], None]]] = {}
        self._sequence = 0
        self._arriving_from = ''
        self._streams = PeerStreams(
            environment=environment,
            members=members,
            transport=transport or TcpTransport(environment=environment),
            greet=self._greet,
            receive=self._receive,
        )
        self.status: Callable[[], HeartbeatStatus] = HeartbeatStatus
        self.excluded: Callable[[str], bool] = _exclude_nothing
        members.publish = self._publish
        members.subscribe(self._note_change)

    async def run(self) -> None:
        """Send heartbeats, repair streams and poll the host list until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._members.host_list.poll(store=self._store))
                group.create_task(self._beat())
        finally:
            self._streams.close()

    async def accept(self, stream: Stream) -> None:
        """Serve a stream that another host opened, until it ends."""
        await self._streams.accept(stream)

    async def send(self, host: str, message: Message) -> bool:
        """Send to one host, over a new stream if need be."""
        link = self._streams.links.newest(host)
        if link is None:
            member = self._members.get(host)
            if member is None or host == self._environment.settings.host:
                return False
            # Shielded, since other callers may wait for the same attempt.
            link = await asyncio.shield(self._streams.open(member.peer_address))
        if link is None or link.host != host:
            return False
        link.used_at = self._environment.clock.monotonic()
        return self._streams.write(link, message)

    def flood(self, message: Message, *, topic: str, version: Version) -> None:
        """Pass a message to the neighbours, once for each version of a topic.

        Each host passes on what arrives: the kinds of
        :func:`~balsamrail.membership.flood_key.flood_key` at once, others when their receiver
        calls this method. The host from which the message arrives is left out.
        """
        if not self._filter.admit(topic, version):
            return
        for host in (self._successors | self._predecessors) - {self._arriving_from}:
            self._write_to(host, message)

    def subscribe(self, kind: type[MessageT], receive: Callable[[str, MessageT], None]) -> None:
        """Call ``receive`` with the sending host and each message of ``kind``."""
        self._receivers_by_kind.setdefault(kind, []).append(receive)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'successors': sorted(self._successors),
            'predecessors': sorted(self._predecessors),
            'linked': sorted(self._streams.links.hosts()),
            'flood_topics': len(self._filter),
        }

    async def _beat(self) -> None:
        heartbeat_s = self._environment.settings.limits.heartbeat_s
        # A random phase spreads the heartbeats of hosts that start together.
        await asyncio.sleep(random.uniform(0, heartbeat_s))
        while True:
            self._beat_once()
            await asyncio.sleep(heartbeat_s)

    def _beat_once(self) -> None:
        paused_s = self._detector.tick()
        self._members.resume(paused_s)
        for link in self._streams.links:
            link.heard_at += paused_s
        self._members.tick()
        if self._members_changed:
            self._choose_neighbours()
        self._send_heartbeats()
        for host in self._detector.silent():
            self._renew(host)
        for host in self._successors:
            if self._streams.links.opened(host) is None:
                self._renew(host)
        self._repair()

    def _choose_neighbours(self) -> None:
        self._members_changed = False
        reachable = [member.host for member in self._members.known() if member.state != 'gone']
        self._successors, self._predecessors = self._rings.neighbours(reachable)
        self._detector.watch(self._successors | self._predecessors)

    def _send_heartbeats(self) -> None:
        self._sequence += 1
        status = self.status()
        message = Heartbeat(
            sequence=self._sequence,
            record_number=status.record_number,
            epoch_by_region=status.epoch_by_region,
            spare_by_resource=status.spare_by_resource,
        )
        now = self._environment.clock.monotonic()
        silent_s = self._environment.settings.limits.suspect_after_s
        for link in self._streams.links:
            needed = link.host in self._successors or now - link.used_at <= _IDLE_LIMIT_S
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

    def _repair(self) -> None:
        for address in choose_contacts(
            members=self._members,
            seeds=self._environment.settings.seeds,
            excluded=self.excluded,
        ):
            self._streams.open(address)
        hosts = self._streams.links.hosts()
        if hosts:
            for update in choose_reminder(self._members):
                self._write_to(random.choice(hosts), update)

    def _greet(self, link: PeerLink, hello: Hello) -> None:
        self._detector.heard(link.host)
        known = self._members.get(hello.host)
        self._take_update(link, update_from_hello(hello))
        if known is None or known.incarnation != hello.incarnation:
            # A host that just started learns the whole table from the first hosts it meets.
            for member in (self._members.own(), *self._members.known()):
                self._tell(link, member.host)
        else:
            self._tell_if_doubted(link)

    def _receive(self, link: PeerLink, message: Message) -> None:
        self._detector.heard(link.host)
        self._arriving_from = link.host
        try:
            self._dispatch(link, message)
        finally:
            self._arriving_from = ''

    def _dispatch(self, link: PeerLink, message: Message) -> None:
        match message:
            case Heartbeat():
                number = self.status().record_number
                ack = HeartbeatAck(sequence=message.sequence, record_number=number)
                self._streams.write(link, ack)
                self._tell_if_doubted(link)
            case HeartbeatAck():
                self._tell_if_doubted(link)
            case MemberUpdate():
                self._take_update(link, message)
            case _:
                link.used_at = self._environment.clock.monotonic()
                key = flood_key(message)
                if key is not None:
                    self.flood(message, topic=key[0], version=key[1])
        for receive in self._receivers_by_kind.get(type(message), ()):
            receive(link.host, message)

    def _take_update(self, link: PeerLink, update: MemberUpdate) -> None:
        if self._members.apply(update):
            self._publish(update)
        elif update.host == self._environment.settings.host and update.state != 'alive':
            # The sender may be cut off from the flood of the refutation.
            self._tell(link, update.host)

    def _tell_if_doubted(self, link: PeerLink) -> None:
        member = self._members.get(link.host)
        if member is not None and member.state in {'suspect', 'gone'}:
            self._tell(link, link.host)

    def _tell(self, link: PeerLink, host: str) -> None:
        for update in self._members.updates_of(host):
            self._streams.write(link, update)

    def _publish(self, update: MemberUpdate) -> None:
        observer = update.observer if update.state == 'suspect' else ''
        self.flood(update, topic=f'member/{update.host}/{observer}', version=update_order(update))

    def _write_to(self, host: str, message: Message) -> None:
        link = self._streams.links.newest(host)
        if link is not None:
            self._streams.write(link, message)

    def _note_change(self) -> None:
        self._members_changed = True


def _exclude_nothing(address: str) -> bool:
    return False
