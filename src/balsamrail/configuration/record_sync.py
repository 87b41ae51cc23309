"""Distribution of record changes to all hosts."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from balsamrail.configuration.record import RECORD_NAME
from balsamrail.configuration.record_delta import apply_record_patch
from balsamrail.configuration.record_history import RecordHistory
from balsamrail.configuration.record_watch import RecordWatch
from balsamrail.configuration.startup_quorum import StartupQuorum
from balsamrail.documents import encode_value
from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.membership.members import Members
from balsamrail.membership.network import Network
from balsamrail.messages import (
    Heartbeat,
    HeartbeatAck,
    Message,
    RecordAnnounce,
    RecordFull,
    RecordPatch,
    RecordRequest,
)
from balsamrail.store import Store

_POLL_INTERVAL_S = 1
# Minimum time between two pulls. Shorter than the heartbeat interval, so that the heartbeat after
# a lost request triggers a new one.
_PULL_INTERVAL_S = 0.7


class _Tracker(Protocol):
    @property
    def number(self) -> int: ...

    @property
    def record(self) -> Any: ...

    def offer(self, value: Any, *, version: int) -> bool: ...

    def subscribe(self, changed: Callable[[], None]) -> None: ...


class RecordSync:
    """Watches the store on a few hosts and propagates record changes to all hosts.

    A host announces the number of each record that it adopts, and hosts with a lower number pull
    the record from it. Heartbeats carry the number too, which repairs lost announcements.

    :param startup_quorum: the condition for :meth:`ready`.
    """

    __slots__ = (
        '_announced',
        '_environment',
        '_highest_seen',
        '_history',
        '_members',
        '_network',
        '_next_pull_at',
        '_quorum',
        '_record_watch',
        '_store',
        '_tasks',
        '_tracker',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        tracker: _Tracker,
        store: Store,
        network: Network,
        members: Members,
        startup_quorum: StartupQuorum | None = None,
    ) -> None:
        self._environment = environment
        self._tracker = tracker
        self._store = store
        self._network = network
        self._members = members
        self._quorum = startup_quorum or StartupQuorum()
        self._history = RecordHistory()
        self._record_watch = RecordWatch(
            environment=environment,
            store=store,
            members=members,
            tracker=tracker,
            history=self._history,
            adopt=lambda value, version: self._adopt(value, version=version),
        )
        self._announced = 0
        self._next_pull_at = environment.clock.monotonic()
        self._highest_seen = (0, '')
        self._tasks: set[asyncio.Task[None]] = set()
        tracker.subscribe(self._announce)
        network.subscribe(RecordAnnounce, self._on_announce)
        network.subscribe(RecordRequest, self._on_request)
        network.subscribe(RecordPatch, self._on_patch)
        network.subscribe(RecordFull, self._on_full)
        network.subscribe(Heartbeat, self._on_heartbeat)
        network.subscribe(HeartbeatAck, self._on_heartbeat)

    async def run(self) -> None:
        """Load the first record and follow changes until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._load_first())
                group.create_task(self._record_watch.run())
        finally:
            for task in self._tasks:
                task.cancel()

    def ready(self) -> bool:
        """Return whether this host may serve (the startup rule of section 5)."""
        return self._quorum.satisfied and self._tracker.record is not None

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'number': self._tracker.number,
            'highest_seen': self._highest_seen[0],
            'ready': self.ready(),
            'watches': self._record_watch.is_due(),
        }

    async def _load_first(self) -> None:
        timeout_s = self._environment.settings.store.timeout_s
        while not self._quorum.satisfied:
            try:
                async with asyncio.timeout(timeout_s):
                    stored = await self._store.read(RECORD_NAME)
            except (StoreError, TimeoutError):
                self._environment.metrics.count('record_reads_failed')
            else:
                if stored is not None:
                    self._adopt(stored.value, version=stored.version)
                self._quorum.on_store_response()
                return
            await self._query_peers()
        self._environment.log.event('record_from_peers', number=self._tracker.number)

    async def _query_peers(self) -> None:
        for host in self._quorum.unanswered_peers(self._peers()):
            request = RecordRequest(have=self._tracker.number)
            self._spawn(self._send(host, request))
        await asyncio.sleep(_POLL_INTERVAL_S)
        self._quorum.end_round(self._peers())

    def _peers(self) -> list[str]:
        own = self._environment.settings.host
        return [member.host for member in self._members.alive() if member.host != own]

    def _adopt(self, value: Any, *, version: int) -> bool:
        if not self._tracker.offer(value, version=version):
            return False
        # The tracker has already called _announce, which added its own encoding of the record to
        # the history. Replace it by the value as stored, so that peers receive exactly that.
        self._history.add(self._tracker.number, value)
        number, host = self._highest_seen
        if number > self._tracker.number:
            self._request_record(host)
        return True

    def _announce(self) -> None:
        number = self._tracker.number
        if number <= self._announced:
            return
        self._announced = number
        self._next_pull_at = 0
        if number not in self._history:
            self._history.add(number, encode_value(value=self._tracker.record))
        self._network.flood(RecordAnnounce(number=number), topic=RECORD_NAME, version=(number,))

    def _on_announce(self, host: str, message: RecordAnnounce) -> None:
        self._quorum.on_peer_response(host)
        self._pull_if_behind(host, message.number)

    def _on_heartbeat(self, host: str, message: Heartbeat | HeartbeatAck) -> None:
        self._pull_if_behind(host, message.record_number)

    def _pull_if_behind(self, host: str, number: int) -> None:
        if number > self._tracker.number:
            self._highest_seen = max(self._highest_seen, (number, host))
            self._request_record(host)

    def _request_record(self, host: str) -> None:
        now = self._environment.clock.monotonic()
        if now >= self._next_pull_at:
            self._next_pull_at = now + _PULL_INTERVAL_S
            self._spawn(self._send(host, RecordRequest(have=self._tracker.number)))

    def _on_request(self, host: str, message: RecordRequest) -> None:
        number = self._tracker.number
        if message.have >= number or number not in self._history:
            reply: Message = RecordAnnounce(number=number)
        else:
            patch = self._history.patch(message.have, number)
            if patch is None:
                encoded = self._history.encoded(number)
                reply = RecordFull(number=number, version=0, record=encoded)
            else:
                reply = RecordPatch(base=message.have, number=number, patch=patch)
        self._spawn(self._send(host, reply))

    def _on_patch(self, host: str, message: RecordPatch) -> None:
        if message.number > self._tracker.number:
            try:
                base = self._history.value(message.base)
                value = apply_record_patch(base, message.patch)
            except (KeyError, ValueError):
                value = None
            if not self._adopt_from_peer(host, value, number=message.number, version=0):
                self._spawn(self._send(host, RecordRequest(have=0)))
        self._quorum.on_peer_response(host)

    def _on_full(self, host: str, message: RecordFull) -> None:
        if message.number > self._tracker.number:
            try:
                value = json.loads(message.record)
            except ValueError:
                value = None
            self._adopt_from_peer(host, value, number=message.number, version=message.version)
        self._quorum.on_peer_response(host)

    def _adopt_from_peer(self, host: str, value: Any, *, number: int, version: int) -> bool:
        fits = isinstance(value, dict) and value.get('number') == number
        if fits and self._adopt(value, version=version):
            return True
        self._environment.metrics.count('peer_records_refused')
        self._environment.log.event('peer_record_refused', peer=host, number=number)
        return False

    async def _send(self, host: str, message: Message) -> None:
        await self._network.send(host, message)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
