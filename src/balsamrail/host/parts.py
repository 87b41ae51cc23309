"""Interfaces of a host's components, as the node uses them."""

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, fields
from typing import Any, Protocol

from balsamrail.configuration import Declaration
from balsamrail.membership import Member, Stream
from balsamrail.store import Store


class Dumpable(Protocol):
    """A component that exposes its state."""

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible data."""


class Runnable(Dumpable, Protocol):
    """A component with background tasks."""

    async def run(self) -> None:
        """Run until cancelled."""


class DeclarationSource(Dumpable, Protocol):
    """Gives access to the tracked record."""

    @property
    def number(self) -> int:
        """The number of the active record, 0 if there is none."""

    def accepted(self) -> Declaration:
        """Return the accepted declaration.

        :raises balsamrail.errors.NotReadyError: if there is none yet.
        """


class LocalMembership(Dumpable, Protocol):
    """The part of the member table that announces the state of this host."""

    def local_member(self) -> Member:
        """Return the entry of this host."""

    def announce_ready(self) -> None:
        """Announce that this host is ready."""

    def announce_leaving(self) -> None:
        """Announce that this host is leaving."""

    def announce_stopped(self) -> None:
        """Announce that this host holds no shares and runs no requests any more."""


class PeerService(Runnable, Protocol):
    """Accepts streams from peers."""

    async def accept(self, stream: Stream) -> None:
        """Serve a stream that a peer opened."""


class RecordSynchronizer(Runnable, Protocol):
    """Synchronises the record to this host."""

    def ready(self) -> bool:
        """Return whether this host may serve requests."""


class RequestForwarder(Runnable, Protocol):
    """Forwards requests and can stop accepting new ones."""

    def reject_new_requests(self) -> None:
        """Reject new requests with ``host_leaving``."""

    def in_flight(self) -> int:
        """Return the number of unfinished requests, including those whose caller disconnected."""


@dataclass(slots=True, kw_only=True)
class Parts:
    """The components of a host.

    :func:`balsamrail.host.assembly.build_components` or a test creates them.

    ``caller_rules`` are the URL rules of the caller listener. ``hand_over_shares`` is awaited
    during shutdown, after the requests in flight have been drained.
    """

    store: Store
    tracker: DeclarationSource
    members: LocalMembership
    network: PeerService
    record_sync: RecordSynchronizer
    router: Runnable
    forwarder: RequestForwarder
    judge: Runnable
    claims: Dumpable
    blocks: Runnable
    announcer: Runnable
    caller_rules: list[tuple[Any, ...]]
    hand_over_shares: Callable[[], Awaitable[None]]

    def named_parts(self) -> Iterator[tuple[str, Any]]:
        """Yield the name and the instance of each component, without the rules and callbacks."""
        for field in fields(self):
            if field.name not in {'caller_rules', 'hand_over_shares'}:
                yield field.name, getattr(self, field.name)
