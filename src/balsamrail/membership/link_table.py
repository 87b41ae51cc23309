"""Open links of this host, indexed by peer."""

from collections.abc import Iterator

from balsamrail.membership.peer_link import PeerLink


class LinkTable:
    """Links by peer host; messages are sent on the newest link."""

    __slots__ = ('_links_by_host',)

    def __init__(self) -> None:
        self._links_by_host: dict[str, list[PeerLink]] = {}

    def __iter__(self) -> Iterator[PeerLink]:
        return iter([link for links in self._links_by_host.values() for link in links])

    def hosts(self) -> list[str]:
        """Return the hosts with at least one link."""
        return list(self._links_by_host)

    def add(self, link: PeerLink) -> None:
        """Add a link after its handshake."""
        self._links_by_host.setdefault(link.host, []).append(link)

    def drop(self, link: PeerLink) -> None:
        """Close and remove a link."""
        link.stream.close()
        links = self._links_by_host.get(link.host, [])
        if link in links:
            links.remove(link)
        if not links:
            self._links_by_host.pop(link.host, None)

    def newest(self, host: str) -> PeerLink | None:
        """Return the most recent link to a host, on which messages are sent."""
        links = self._links_by_host.get(host)
        return links[-1] if links else None

    def newest_outbound(self, host: str) -> PeerLink | None:
        """Return the most recent link that this side opened."""
        links = [link for link in self._links_by_host.get(host, ()) if link.is_outbound]
        return links[-1] if links else None

    def drop_silent(self, host: str, *, received_before: float) -> int:
        """Drop a host's links whose last message arrived before a time; return their number."""
        silent = [
            link
            for link in self._links_by_host.get(host, ())
            if link.last_received_at < received_before
        ]
        for link in silent:
            self.drop(link)
        return len(silent)

    def close(self) -> None:
        """Drop all links."""
        for link in self:
            self.drop(link)
