"""The open streams of one host."""

from collections.abc import Iterator

from balsamrail.membership.peer_link import PeerLink


class LinkTable:
    """Links by host; the newest link of a host is the one to send on."""

    __slots__ = ('_links_by_host',)

    def __init__(self) -> None:
        self._links_by_host: dict[str, list[PeerLink]] = {}

    def __iter__(self) -> Iterator[PeerLink]:
        return iter([link for links in self._links_by_host.values() for link in links])

    def hosts(self) -> list[str]:
        """Return the hosts that have a link."""
        return list(self._links_by_host)

    def add(self, link: PeerLink) -> None:
        """Add a link that is ready for messages."""
        self._links_by_host.setdefault(link.host, []).append(link)

    def drop(self, link: PeerLink) -> None:
        """Close a link and remove it."""
        link.stream.close()
        links = self._links_by_host.get(link.host, [])
        if link in links:
            links.remove(link)
        if not links:
            self._links_by_host.pop(link.host, None)

    def newest(self, host: str) -> PeerLink | None:
        """Return the link to send on."""
        links = self._links_by_host.get(host)
        return links[-1] if links else None

    def opened(self, host: str) -> PeerLink | None:
        """Return the newest link that this side opened."""
        links = [link for link in self._links_by_host.get(host, ()) if link.opened]
        return links[-1] if links else None

    def drop_silent(self, host: str, *, heard_before: float) -> int:
        """Drop the links of a host that last heard something before a time; return how many."""
        silent = [
            link for link in self._links_by_host.get(host, ()) if link.heard_at < heard_before
        ]
        for link in silent:
            self.drop(link)
        return len(silent)

    def close(self) -> None:
        """Drop all links."""
        for link in self:
            self.drop(link)
