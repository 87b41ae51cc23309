"""Brings each accepted record to every host."""

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from balsamrail.configuration.record_delta import apply_record_patch
from balsamrail.configuration.record_history import RecordHistory
from balsamrail.configuration.start_rule import StartRule
from balsamrail.configuration.watchers import choose_watchers
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

_RECORD_NAME = 'record'
_FIRST_BACKOFF_S = 0.5
_LONGEST_BACKOFF_S = 15
_ROUND_S = 1
# Within this time a second announcement starts no second pull. Shorter than a heartbeat, so that
# the heartbeat after a lost request repeats it.
_PULL_S = 0.7


class _Tracker(Protocol):
    @property
    def number(self) -> int: ...

    @property
    def record(self) -> Any: ...

    def offer(self, value: Any, *, version: int) -> bool: ...

    def subscribe(self, changed: Callable[[], None]) -> None: ...


class RecordSync:
    """Watches the store on a few hosts, and spreads record numbers and changes among all.

    A host announces a number once it has the record, and whoever has a lower one pulls from it.
    Heartbeats carry the number too and repair what an announcement missed.

    :param start_rule: decides when :meth:`ready` holds.
    """

    __slots__ = (
        '_announced',
        '_environment',
        '_history',
        '_members',
        '_network',
        '_pull_until',
        '_seen',
        '_start',
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
        start_rule: StartRule | None = None,
    ) -> None:
        self._environment = environment
        self._tracker = tracker
        self._store = store
        self._network = network
        self._members = members
        self._start = start_rule or StartRule()
        self._history = RecordHistory()
        self._announced = 0
        self._pull_until = environment.clock.monotonic()
        self._seen = (0, '')
        self._tasks: set[asyncio.Task[None]] = set()
        tracker.subscribe(self._announce)
        network.subscribe(RecordAnnounce, self._hear_announce)
        network.subscribe(RecordRequest, self._answer)
        network.subscribe(RecordPatch, self._take_patch)
        network.subscribe(RecordFull, self._take_full)
        network.subscribe(Heartbeat, self._hear_heartbeat)
        network.subscribe(HeartbeatAck, self._hear_heartbeat)

    async def run(self) -> None:
        """Get a first record, then keep up, until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._get_first())
                group.create_task(self._watch())
        finally:
            for task in self._tasks:
                task.cancel()

    def ready(self) -> bool:
        """Tell whether this host may serve (the start rule of section 5)."""
        return self._start.satisfied and self._tracker.record is not None

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'number': self._tracker.number,
            'highest_seen': self._seen[0],
            'ready': self.ready(),
            'watches': self._is_watcher(),
        }

    async def _get_first(self) -> None:
        timeout_s = self._environment.settings.store.timeout_s
        while not self._start.satisfied:
            try:
                async with asyncio.timeout(timeout_s):
                    stored = await self._store.read(_RECORD_NAME)
            except (StoreError, TimeoutError):
                self._environment.metrics.count('record_reads_failed')
            else:
                if stored is not None:
                    self._adopt(stored.value, version=stored.version)
                self._start.store_answered()
                return
            await self._ask_peers()
        self._environment.log.event('record_from_peers', number=self._tracker.number)

    async def _ask_peers(self) -> None:
        for host in self._start.to_ask(self._peers()):
            request = RecordRequest(have=self._tracker.number)
            self._spawn(self._send(host, request))
        await asyncio.sleep(_ROUND_S)
        self._start.end_round(self._peers())

    def _peers(self) -> list[str]:
        own = self._environment.settings.host
        return [member.host for member in self._members.alive() if member.host != own]

    async def _watch(self) -> None:
        version = 0
        failures = 0
        while True:
            if not self._is_watcher():
                await asyncio.sleep(_ROUND_S)
                continue
            began = self._environment.clock.monotonic()
            try:
                version = await self._watch_once(version)
            except (StoreError, TimeoutError) as error:
                failures += 1
                self._environment.metrics.count('record_watches_failed')
                self._environment.log.event('record_watch_failed', reason=type(error).__name__)
                await asyncio.sleep(_backoff_s(failures))
                continue
            failures = 0
            if self._environment.clock.monotonic() - began < _PULL_S:
                # A store that ends each watch at once must not be asked in a tight loop.
                await asyncio.sleep(random.uniform(0, _PULL_S))

    async def _watch_once(self, version: int) -> int:
        settings = self._environment.settings.store
        # A connection that went silent ends with the watch's own time and one call's more.
        async with asyncio.timeout(settings.watch_s + settings.timeout_s):
            stored = await self._store.watch(_RECORD_NAME, version=version)
        if stored is None:
            return version
        self._adopt(stored.value, version=stored.version)
        return stored.version

    def _is_watcher(self) -> bool:
        own = self._members.local_member()
        watchers = choose_watchers(
            self._members.alive(),
            availability_zone=own.availability_zone,
        )
        return own.host in watchers

    def _adopt(self, value: Any, *, version: int) -> bool:
        if not self._tracker.offer(value, version=version):
            return False
        # The tracker's own call of _announce came first and kept the value as it encodes it;
        # the peers should get it as the store has it.
        self._history.add(self._tracker.number, value)
        number, host = self._seen
        if number > self._tracker.number:
            self._pull(host)
        return True

    def _announce(self) -> None:
        number = self._tracker.number
        if number <= self._announced:
            return
        self._announced = number
        self._pull_until = 0
        if number not in self._history:
            self._history.add(number, encode_value(value=self._tracker.record))
        self._network.flood(RecordAnnounce(number=number), topic=_RECORD_NAME, version=(number,))

    def _hear_announce(self, host: str, message: RecordAnnounce) -> None:
        self._start.peer_answered(host)
        self._compare(host, message.number)

    def _hear_heartbeat(self, host: str, message: Heartbeat | HeartbeatAck) -> None:
        self._compare(host, message.record_number)

    def _compare(self, host: str, number: int) -> None:
        if number > self._tracker.number:
            self._seen = max(self._seen, (number, host))
            self._pull(host)

    def _pull(self, host: str) -> None:
        now = self._environment.clock.monotonic()
        if now >= self._pull_until:
            self._pull_until = now + _PULL_S
            self._spawn(self._send(host, RecordRequest(have=self._tracker.number)))

    def _answer(self, host: str, message: RecordRequest) -> None:
        number = self._tracker.number
        if message.have >= number or number not in self._history:
            reply: Message = RecordAnnounce(number=number)
        else:
            patch = self._history.patch(message.have, number)
            if patch is None:
                text = self._history.text(number)
                reply = RecordFull(number=number, version=0, record=text)
            else:
                reply = RecordPatch(base=message.have, number=number, patch=patch)
        self._spawn(self._send(host, reply))

    def _take_patch(self, host: str, message: RecordPatch) -> None:
        if message.number > self._tracker.number:
            try:
                base = self._history.value(message.base)
                value = apply_record_patch(base, message.patch)
            except (KeyError, ValueError):
                value = None
            if not self._take(host, value, number=message.number, version=0):
                self._spawn(self._send(host, RecordRequest(have=0)))
        self._start.peer_answered(host)

    def _take_full(self, host: str, message: RecordFull) -> None:
        if message.number > self._tracker.number:
            try:
                value = json.loads(message.record)
            except ValueError:
                value = None
            self._take(host, value, number=message.number, version=message.version)
        self._start.peer_answered(host)

    def _take(self, host: str, value: Any, *, number: int, version: int) -> bool:
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


def _backoff_s(failures: int) -> float:
    longest_s = min(_LONGEST_BACKOFF_S, _FIRST_BACKOFF_S * 2.0 ** min(failures, 10))
    return random.uniform(longest_s / 2, longest_s)
