"""The parts of a host, by what the node uses of them."""

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, fields
from typing import Any, Protocol

from balsamrail.configuration import Declaration
from balsamrail.membership import Member, Stream
from balsamrail.store import Store


class Dumps(Protocol):
    """A part that shows its state."""

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""


class Runs(Dumps, Protocol):
    """A part with tasks."""

    async def run(self) -> None:
        """Run until cancelled."""


class Declarations(Dumps, Protocol):
    """The tracker of the record."""

    @property
    def number(self) -> int:
        """The number of the record in force, 0 if there is none."""

    def accepted(self) -> Declaration:
        """Return the accepted declaration.

        :raises balsamrail.errors.NotReadyError: if there is none yet.
        """


class OwnMembership(Dumps, Protocol):
    """The member table, as far as this host speaks for itself."""

    def local_member(self) -> Member:
        """Return this host."""

    def announce_ready(self) -> None:
        """Say that this host is ready."""

    def announce_leaving(self) -> None:
        """Say that this host is leaving."""

    def announce_stopped(self) -> None:
        """Say that this host holds and runs nothing any more."""


class Peers(Runs, Protocol):
    """The peer network."""

    async def accept(self, stream: Stream) -> None:
        """Serve a stream that another host opened."""


class Readiness(Runs, Protocol):
    """The part that brings the record to this host."""

    def ready(self) -> bool:
        """Return whether this host may serve."""


class InFlight(Runs, Protocol):
    """The forwarder."""

    def refuse_new(self) -> None:
        """Answer ``host_leaving`` to new requests."""

    def in_flight(self) -> int:
        """Return the number of unfinished requests, those without a caller included."""


@dataclass(slots=True, kw_only=True)
class Parts:
    """Everything that a host runs, made by the assembly or by a test.

    ``caller_rules`` are the handlers of the callers' listener. ``hand_over_shares`` is awaited
    when nothing is in flight any more.
    """

    store: Store
    tracker: Declarations
    members: OwnMembership
    network: Peers
    record_sync: Readiness
    router: Runs
    forwarder: InFlight
    judge: Runs
    claims: Dumps
    blocks: Runs
    announcer: Runs
    caller_rules: list[tuple[Any, ...]]
    hand_over_shares: Callable[[], Awaitable[None]]

    def named(self) -> Iterator[tuple[str, Any]]:
        """Return each part with its name, without the handlers."""
        for field in fields(self):
            if field.name not in {'caller_rules', 'hand_over_shares'}:
                yield field.name, getattr(self, field.name)
