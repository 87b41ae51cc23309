"""Dissemination of member updates: flooding with anti-entropy as a backup."""

import random
from collections.abc import Callable, Iterable

from balsamrail.membership.members import Members
from balsamrail.membership.peer_link import PeerLink
from balsamrail.membership.peer_streams import PeerStreams
from balsamrail.membership.table_exchange import TableExchange
from balsamrail.membership.updates import make_update, update_from_hello, update_order
from balsamrail.messages import Hello, MemberDigest, MemberUpdate

_ANNOUNCED_STATES = frozenset(('starting', 'alive', 'degraded', 'leaving'))


class MemberGossip:
    """Floods updates and repairs missed ones by comparing member tables (anti-entropy).

    :param flood: the method of the network that sends a message to all hosts.
    :param compare_tables: whether digests are sent.
    """

    __slots__ = ('_exchange', '_flood', '_members', '_streams')

    def __init__(
        self,
        *,
        members: Members,
        streams: PeerStreams,
        flood: Callable[..., None],
        compare_tables: bool = True,
    ) -> None:
        self._members = members
        self._streams = streams
        self._flood = flood
        self._exchange = TableExchange(
            members=members,
            write=streams.write,
            enabled=compare_tables,
        )

    def sync_with_random_peer(self) -> None:
        """Send a digest, about 70 bytes, to one random peer."""
        links = list(self._streams.links)
        if links:
            self._exchange.send_digest(random.choice(links))

    def receive_hello(self, link: PeerLink, hello: Hello) -> None:
        """Apply the peer's handshake and send it the rows that it may lack."""
        known = self._members.get(hello.host)
        self.merge(link, update_from_hello(hello))
        if known is None or known.incarnation != hello.incarnation:
            # A host that just started receives the whole table from the first hosts it contacts.
            # Gone members are omitted: a row copied to each restarted host would never expire.
            rows = [self._members.local_member(), *self._members.known()]
            self._exchange.send_rows(
                link, [member.host for member in rows if member.state != 'gone']
            )
        else:
            self.request_refutation(link)
            if link.is_outbound:
                # A host that was paused or partitioned for long lost its streams and missed
                # floods. It must not judge members by an outdated table.
                self._exchange.send_digest(link)

    def merge(self, link: PeerLink, update: MemberUpdate) -> None:
        """Merge an update received on a link, and forward it if it changed the table."""
        known = self._members.get(update.host)
        if self._members.apply(update):
            # A new host is announced once it serves. A restart of a known host is announced at
            # once, since all hosts have to stop returning it in lookups.
            if known is not None or update.state != 'starting':
                self.publish(update)
            return
        if known is None:
            return
        # The flood of the refutation may not reach the sender.
        refuted = known is self._members.local_member() and update.state != known.state
        # Digests omit gone members, so the sender would not learn of this one from them.
        outdated = known.state == 'gone' and update_order(update) < update_order(known)
        if refuted or outdated:
            self._exchange.send_rows(link, [update.host])

    def receive_digest(self, link: PeerLink, digest: MemberDigest) -> None:
        """Process a digest received from a peer."""
        self._exchange.handle_digest(link, digest)

    def request_refutation(self, link: PeerLink) -> None:
        """Notify a peer that is suspected or gone in this table, so that it refutes."""
        member = self._members.get(link.host)
        if member is not None and member.state in {'suspect', 'gone'}:
            self._exchange.send_rows(link, [link.host])

    def repeat_suspicions(self, neighbours: Iterable[str], *, made_before: float) -> None:
        """Send the suspicions of this host that were not confirmed yet to its neighbours again.

        If most neighbours are lost, those of this moment may be others than when a suspicion was
        flooded. The comparison of the tables does not show who suspects a member.

        :param made_before: event loop time in seconds; newer suspicions are not sent again.
        """
        own = self._members.local_member().host
        suspicions = [
            make_update(member, observer=own)
            for host, since in self._members.own_suspicions().items()
            if since < made_before and (member := self._members.get(host)) is not None
        ]
        links = map(self._streams.links.newest, neighbours if suspicions else ())
        for link in filter(None, links):
            for update in suspicions:
                self._streams.write(link, update)

    def publish(self, update: MemberUpdate) -> None:
        """Flood an update; the suspicions of different observers are flooded separately.

        Announcements of running hosts are by far the most frequent updates, and a host that
        misses one gets it from the comparison of the tables. Only they are sent one way.
        """
        observer = update.observer if update.state == 'suspect' else ''
        self._flood(
            update,
            topic=f'member/{update.host}/{observer}',
            version=update_order(update),
            is_one_way=update.state in _ANNOUNCED_STATES,
        )
