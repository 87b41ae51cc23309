"""The peer network of one host: streams, membership and flooding."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.failure_detector import FailureDetector
from balsamrail.membership.flood_filter import FloodFilter, Version
from balsamrail.membership.flood_key import flood_key
from balsamrail.membership.heartbeat_status import HeartbeatStatus
from balsamrail.membership.member_gossip import MemberGossip
from balsamrail.membership.members import Members
from balsamrail.membership.neighbour_streams import NeighbourStreams
from balsamrail.membership.network import MessageT
from balsamrail.membership.peer_link import PeerLink
from balsamrail.membership.peer_streams import PeerStreams
from balsamrail.membership.repair import choose_contacts
from balsamrail.membership.stream import Stream
from balsamrail.membership.tcp_transport import TcpTransport
from balsamrail.membership.transport import Transport
from balsamrail.messages import (
    Heartbeat,
    HeartbeatAck,
    Hello,
    MemberDigest,
    MemberUpdate,
    MemberUpdates,
    Message,
    unpack_updates,
)
from balsamrail.store import HostDirectory


class PeerNetwork:
    """Maintains streams to the ring neighbours, and to other hosts while they are in use.

    Implements :class:`~balsamrail.membership.network.Network`. ``status`` returns the fields of
    the next heartbeat. ``is_excluded`` returns whether a listed address is not an entry host.

    :param replace_silent: whether a second connection is tried before a neighbour is suspected.
    :param compare_tables: whether hosts compare their member tables by digests.
    """

    __slots__ = (
        '_detector',
        '_environment',
        '_filter',
        '_gossip',
        '_members',
        '_neighbours',
        '_receivers_by_kind',
        '_receiving_from',
        '_repeated',
        '_store',
        '_streams',
        'is_excluded',
        'status',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        members: Members,
        store: HostDirectory,
        transport: Transport | None = None,
        detector: FailureDetector | None = None,
        replace_silent: bool = True,
        compare_tables: bool = True,
    ) -> None:
        self._environment = environment
        self._members = members
        self._store = store
        self._detector = detector or FailureDetector(environment=environment, members=members)
        self._filter = FloodFilter()
        self._receivers_by_kind: dict[type[Any], list[Callable[[str, Any], None]]] = {}
        self._receiving_from = ''
        self._repeated: list[Callable[[], Iterable[Message]]] = []
        self._streams = PeerStreams(
            environment=environment,
            members=members,
            transport=transport or TcpTransport(environment=environment),
            receive_hello=self._receive_hello,
            receive=self._receive,
        )
        self.status: Callable[[], HeartbeatStatus] = HeartbeatStatus
        self.is_excluded: Callable[[str], bool] = _exclude_nothing
        self._neighbours = NeighbourStreams(
            environment=environment,
            members=members,
            streams=self._streams,
            detector=self._detector,
            status=lambda: self.status(),
            replace_silent=replace_silent,
        )
        self._gossip = MemberGossip(
            members=members,
            streams=self._streams,
            flood=self.flood,
            compare_tables=compare_tables,
        )
        members.publish = self._gossip.publish

    async def run(self) -> None:
        """Send heartbeats, restore streams and poll the host list until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._members.host_list.poll(store=self._store))
                group.create_task(self._run_heartbeats())
        finally:
            self._streams.close()

    async def accept(self, stream: Stream) -> None:
        """Serve a stream that another host opened, until it ends."""
        await self._streams.accept(stream)

    async def send(self, host: str, message: Message) -> bool:
        """Send a message to one host, over a new stream if there is none."""
        link = self._streams.links.newest(host)
        if link is None:
            member = self._members.get(host)
            if member is None or host == self._environment.settings.host:
                return False
            # Shielded, since concurrent calls share the attempt.
            link = await asyncio.shield(self._streams.open(member.peer_address))
        if link is None or link.host != host:
            return False
        link.last_used_at = self._environment.clock.monotonic()
        return self._streams.write(link, message)

    def flood(
        self, message: Message, *, topic: str, version: Version, is_one_way: bool = False
    ) -> None:
        """Send a message to the neighbours, once for each version of a topic.

        Each host forwards what it receives: the kinds in
        :func:`~balsamrail.membership.flood_key.flood_key` at once, others when their receiver
        calls this method. The message is not sent back to the host that it came from.

        :param is_one_way: send only along the rings, to the successors. This reaches all hosts as
            long as few have failed, with half of the messages.
        """
        if not self._filter.admit(topic, version):
            return
        hosts = sorted(self._neighbours.successors) if is_one_way else self._neighbours.hosts()
        for host in hosts:
            link = self._streams.links.newest(host)
            if link is not None and host != self._receiving_from:
                self._streams.write(link, message)

    def subscribe(self, kind: type[MessageT], receive: Callable[[str, MessageT], None]) -> None:
        """Call ``receive`` with the sending host and each message of ``kind``."""
        self._receivers_by_kind.setdefault(kind, []).append(receive)

    def repeat_to_peers(self, messages: Callable[[], Iterable[Message]]) -> None:
        """Send the result of ``messages`` to each peer that connects, also if it did before."""
        self._repeated.append(messages)

    def dump(self) -> dict[str, Any]:
        """Return a diagnostic snapshot."""
        return {
            'successors': sorted(self._neighbours.successors),
            'predecessors': sorted(self._neighbours.predecessors),
            'linked': sorted(self._streams.links.hosts()),
            'flood_topics': len(self._filter),
        }

    async def _run_heartbeats(self) -> None:
        heartbeat_s = self._environment.settings.limits.heartbeat_s
        # A host that restarts has callers waiting, and learns from its peers what it serves.
        if not self._environment.settings.is_first_start:
            self._open_contacts()
        # A random offset spreads the heartbeats of hosts that start at the same time.
        await asyncio.sleep(random.uniform(0, heartbeat_s))
        while True:
            self._tick()
            await asyncio.sleep(heartbeat_s)

    def _tick(self) -> None:
        paused_s = self._detector.tick()
        self._members.compensate_pause(paused_s)
        for link in self._streams.links:
            link.last_received_at += paused_s
        self._members.tick()
        self._neighbours.maintain()
        self._open_contacts()
        limits = self._environment.settings.limits
        self._gossip.repeat_suspicions(
            self._neighbours.hosts(),
            made_before=self._environment.clock.monotonic() - limits.gone_after_s,
        )
        self._gossip.sync_with_random_peer()

    def _open_contacts(self) -> None:
        for address in choose_contacts(
            members=self._members,
            seeds=self._environment.settings.seeds,
            is_excluded=self.is_excluded,
        ):
            self._streams.open(address)

    def _receive_hello(self, link: PeerLink, hello: Hello) -> None:
        self._detector.record_message(link.host)
        self._gossip.receive_hello(link, hello)
        # What is flooded from now on has to reach this peer, since it is not repeated to it.
        self._neighbours.refresh()
        for messages in self._repeated:
            for message in messages():
                self._streams.write(link, message)

    def _receive(self, link: PeerLink, message: Message) -> None:
        self._detector.record_message(link.host)
        self._receiving_from = link.host
        try:
            self._dispatch(link, message)
        finally:
            self._receiving_from = ''

    def _dispatch(self, link: PeerLink, message: Message) -> None:
        match message:
            case Heartbeat():
                number = self.status().record_number
                ack = HeartbeatAck(sequence=message.sequence, record_number=number)
                self._streams.write(link, ack)
                self._gossip.request_refutation(link)
            case HeartbeatAck():
                self._gossip.request_refutation(link)
            case MemberUpdate():
                self._gossip.merge(link, message)
            case MemberUpdates():
                for update in unpack_updates(message):
                    self._gossip.merge(link, update)
            case MemberDigest():
                self._gossip.receive_digest(link, message)
            case _:
                link.last_used_at = self._environment.clock.monotonic()
                key = flood_key(message)
                if key is not None:
                    self.flood(message, topic=key[0], version=key[1])
        for receive in self._receivers_by_kind.get(type(message), ()):
            receive(link.host, message)


def _exclude_nothing(address: str) -> bool:
    return False
