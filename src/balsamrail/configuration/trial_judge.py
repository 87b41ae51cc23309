"""Ends trials: accepts candidates after their time, or stops them on evidence."""

import asyncio
import random
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.counters_flood import CountersFlood
from balsamrail.configuration.living_members import LivingMembers
from balsamrail.configuration.record import RECORD_NAME, Record, encode_record
from balsamrail.configuration.record_changes import with_candidate_accepted, with_candidate_stopped
from balsamrail.configuration.tracker import Tracker
from balsamrail.configuration.trial_evidence import TrialEvidence
from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.messages import TrialCounters
from balsamrail.store import SettledWrite, Store

if TYPE_CHECKING:
    from balsamrail.membership.network import Network

_TICK_S = 1
_STAGGERED_HOSTS = 20
_RETRY_S = 10


class TrialJudge:
    """Judges the candidate of the tracker's record by the outcome of requests.

    Every host judges. Each waits in turn before it writes, so that usually one writes, and the
    writes are conditional on the version that was read just before, so that only one counts. The
    time of a trial is measured from when this host learned of it, since clocks of hosts differ.
    """

    __slots__ = (
        '_due_by_verdict',
        '_environment',
        '_evidence',
        '_flood',
        '_members',
        '_store',
        '_tracker',
        '_write',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        tracker: Tracker,
        store: Store,
        network: 'Network',
        members: LivingMembers,
    ) -> None:
        self._environment = environment
        self._tracker = tracker
        self._store = store
        self._write = SettledWrite(environment=environment, store=store)
        self._members = members
        self._flood = CountersFlood(environment=environment, network=network, members=members)
        self._evidence: TrialEvidence | None = None
        self._due_by_verdict: dict[str, float] = {}
        network.subscribe(TrialCounters, self._receive)
        tracker.subscribe(self._follow_record)
        self._follow_record()

    def observe(self, *, revision: int, failed: bool, latency_s: float) -> None:
        """Count a request that was steered by ``revision``.

        :param latency_s: time until the complete answer, in seconds.
        """
        if self._evidence is not None:
            self._evidence.observe(revision=revision, failed=failed, latency_s=latency_s)

    async def run(self) -> None:
        """Judge and tell the others until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            if self._evidence is not None:
                self._flood.flood(self._evidence)
            try:
                await self.judge()
            except StoreError as error:
                self._environment.log.event('trial_write_failed', reason=error)

    async def judge(self) -> None:
        """End the trial if it is time to.

        :raises StoreError: if the record could not be read or written.
        """
        candidate = self._tracker.record.candidate if self._tracker.record else None
        evidence = self._evidence
        if candidate is None or evidence is None:
            return
        fault = evidence.fault(candidate.trial)
        now = self._environment.clock.monotonic()
        if fault is None and now < evidence.since + candidate.trial.duration_s:
            self._due_by_verdict.clear()
            return
        verdict = 'accept' if fault is None else 'stop'
        due = self._due_by_verdict.setdefault(verdict, now + self._turn_s(candidate.revision))
        if now >= due:
            # While the store holds no usable record, the fleet must not read it every second.
            self._due_by_verdict[verdict] = now + _RETRY_S * (1 + random.random())
            await self._end(candidate, fault=fault)

    def dump(self) -> dict[str, Any]:
        """Return the evidence as plain data."""
        if self._evidence is None:
            return {'candidate_revision': None}
        candidate, accepted = self._evidence.totals()
        return {
            'candidate_revision': self._evidence.revision,
            'candidate': candidate.cells(),
            'accepted': accepted.cells(),
            'own_candidate': self._evidence.candidate.cells(),
            'own_accepted': self._evidence.accepted.cells(),
        }

    async def _end(self, candidate: Candidate, *, fault: str | None) -> None:
        record = await self._read_record()
        current = record.candidate if record else None
        if record is None or current is None or current.revision != candidate.revision:
            return
        changed = _ended(record, current, fault=fault)
        await self._write.write(
            RECORD_NAME, value=encode_record(changed), version=self._tracker.version
        )
        self._environment.log.event(
            'trial_ended', revision=current.revision, stopped=fault, number=changed.number
        )
        # The written value carries a mark that only the store's copy has.
        await self._read_record()

    async def _read_record(self) -> Record | None:
        """Return the record in the store, ``None`` if the tracker refuses it."""
        found = await self._store.read(RECORD_NAME)
        if found is None:
            return None
        self._tracker.offer(found.value, version=found.version)
        return self._tracker.record if self._tracker.version == found.version else None

    def _receive(self, host: str, message: TrialCounters) -> None:
        own = message.host == self._environment.settings.host
        if own and message.incarnation == self._environment.incarnation:
            return
        if self._evidence is not None:
            self._evidence.receive(message)

    def _follow_record(self) -> None:
        record = self._tracker.record
        candidate = record.candidate if record else None
        if record is None or candidate is None:
            self._evidence = None
        elif self._evidence is None or self._evidence.revision != candidate.revision:
            now = self._environment.clock.monotonic()
            evidence = TrialEvidence(
                revision=candidate.revision,
                accepted_revision=record.accepted.revision,
                since=now,
            )
            self._evidence = evidence
            self._due_by_verdict.clear()
            self._flood.begin(evidence)

    def _turn_s(self, revision: int) -> float:
        """Return how long this host lets others write first, in seconds."""
        own = _rank_digest(self._environment.holder, revision)
        ranks = [_rank_digest(member.holder, revision) for member in self._members.alive()]
        turn = sum(rank < own for rank in ranks)
        # Beyond the first hosts turns are random, else a large fleet would wait for minutes.
        return turn if turn < _STAGGERED_HOSTS else _STAGGERED_HOSTS * (1 + random.random())


def _ended(record: Record, candidate: Candidate, *, fault: str | None) -> Record:
    if fault is None:
        return with_candidate_accepted(record, candidate)
    return with_candidate_stopped(record, candidate, reason=fault)


def _rank_digest(holder: str, revision: int) -> bytes:
    return blake2b(f'{revision} {holder}'.encode(), digest_size=8).digest()
