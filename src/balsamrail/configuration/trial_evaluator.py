"""Evaluation of trials: accepts candidates after their duration or stops them early."""

import asyncio
import random
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from balsamrail.configuration.alive_members import AliveMembers
from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.record import RECORD_NAME, Record, encode_record
from balsamrail.configuration.record_changes import with_candidate_accepted, with_candidate_stopped
from balsamrail.configuration.tracker import Tracker
from balsamrail.configuration.trial_counters_publisher import TrialCountersPublisher
from balsamrail.configuration.trial_statistics import TrialStatistics
from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.messages import TrialCounters
from balsamrail.store import Store, VerifiedWrite
from balsamrail.store.versions import split_version

if TYPE_CHECKING:
    from balsamrail.membership.network import Network

_EVALUATION_INTERVAL_S = 1
_STAGGERED_HOSTS = 20
_RETRY_INTERVAL_S = 10


class TrialEvaluator:
    """Evaluates the candidate of the current record by the outcome of requests.

    Every host evaluates the trial. Writes are staggered over the hosts, so that usually only one
    host writes, and they are conditional on the version read just before, so that only one takes
    effect. The duration of a trial is measured from when this host learned of it, since the
    clocks of hosts differ.
    """

    __slots__ = (
        '_due_by_decision',
        '_environment',
        '_members',
        '_publisher',
        '_statistics',
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
        members: AliveMembers,
    ) -> None:
        self._environment = environment
        self._tracker = tracker
        self._store = store
        self._write = VerifiedWrite(environment=environment, store=store)
        self._members = members
        self._publisher = TrialCountersPublisher(
            environment=environment, network=network, members=members
        )
        self._statistics: TrialStatistics | None = None
        self._due_by_decision: dict[str, float] = {}
        network.subscribe(TrialCounters, self._on_counters)
        tracker.subscribe(self._on_record_adopted)
        self._on_record_adopted()

    def observe(self, *, revision: int, failed: bool, latency_s: float) -> None:
        """Count a request that was routed under ``revision``.

        :param latency_s: time to the complete response, in seconds.
        """
        if self._statistics is not None:
            self._statistics.observe(revision=revision, failed=failed, latency_s=latency_s)

    async def run(self) -> None:
        """Evaluate the trial and publish its counters until cancelled."""
        while True:
            await asyncio.sleep(_EVALUATION_INTERVAL_S)
            if self._statistics is not None:
                self._publisher.publish(self._statistics)
            try:
                await self.evaluate()
            except StoreError as error:
                self._environment.log.event('trial_write_failed', reason=error)

    async def evaluate(self) -> None:
        """End the trial if its duration has elapsed or a limit is exceeded.

        :raises StoreError: if the record could not be read or written.
        """
        candidate = self._tracker.record.candidate if self._tracker.record else None
        statistics = self._statistics
        if candidate is None or statistics is None:
            return
        stop_reason = statistics.stop_reason(candidate.trial)
        now = self._environment.clock.monotonic()
        if stop_reason is None and now < statistics.since + candidate.trial.duration_s:
            self._due_by_decision.clear()
            return
        decision = 'accept' if stop_reason is None else 'stop'
        due = self._due_by_decision.setdefault(
            decision, now + self._write_delay_s(candidate.revision)
        )
        if now >= due:
            # Avoids reads by all hosts every second while the record in the store is invalid.
            self._due_by_decision[decision] = now + _RETRY_INTERVAL_S * (1 + random.random())
            await self._end_trial(candidate, stop_reason=stop_reason)

    def dump(self) -> dict[str, Any]:
        """Return the counters as plain data."""
        if self._statistics is None:
            return {'candidate_revision': None}
        candidate, accepted = self._statistics.totals()
        return {
            'candidate_revision': self._statistics.revision,
            'candidate': candidate.counters(),
            'accepted': accepted.counters(),
            'own_candidate': self._statistics.candidate.counters(),
            'own_accepted': self._statistics.accepted.counters(),
        }

    async def _end_trial(self, candidate: Candidate, *, stop_reason: str | None) -> None:
        record = await self._read_record()
        current = record.candidate if record else None
        if record is None or current is None or current.revision != candidate.revision:
            return
        version = self._tracker.version
        era, _ = split_version(version)
        changed = _with_trial_ended(record, current, stop_reason=stop_reason, era=era)
        await self._write.write(RECORD_NAME, value=encode_record(changed), version=version)
        self._environment.log.event(
            'trial_ended', revision=current.revision, stopped=stop_reason, number=changed.number
        )
        # Adopt the stored value, since it contains a mark that the value encoded here lacks.
        await self._read_record()

    async def _read_record(self) -> Record | None:
        """Return the record in the store, or ``None`` if the tracker rejects it."""
        found = await self._store.read(RECORD_NAME)
        if found is None:
            return None
        self._tracker.offer(found.value, version=found.version)
        return self._tracker.record if self._tracker.version == found.version else None

    def _on_counters(self, host: str, message: TrialCounters) -> None:
        own = message.host == self._environment.settings.host
        if own and message.incarnation == self._environment.incarnation:
            return
        if self._statistics is not None:
            self._statistics.receive(message)

    def _on_record_adopted(self) -> None:
        record = self._tracker.record
        candidate = record.candidate if record else None
        if record is None or candidate is None:
            self._statistics = None
        elif self._statistics is None or self._statistics.revision != candidate.revision:
            now = self._environment.clock.monotonic()
            statistics = TrialStatistics(
                revision=candidate.revision,
                accepted_revision=record.accepted.revision,
                since=now,
            )
            self._statistics = statistics
            self._due_by_decision.clear()
            self._publisher.start_trial(statistics)

    def _write_delay_s(self, revision: int) -> float:
        """Return the delay in seconds before this host writes, staggered over hosts."""
        own = _rank_digest(self._environment.holder, revision)
        ranks = [_rank_digest(member.holder, revision) for member in self._members.alive()]
        position = sum(rank < own for rank in ranks)
        # Later hosts draw a random delay; by rank, it would be minutes in a large fleet.
        return (
            position if position < _STAGGERED_HOSTS else _STAGGERED_HOSTS * (1 + random.random())
        )


def _with_trial_ended(
    record: Record, candidate: Candidate, *, stop_reason: str | None, era: int
) -> Record:
    if stop_reason is None:
        return with_candidate_accepted(record, candidate, era=era)
    return with_candidate_stopped(record, candidate, reason=stop_reason, era=era)


def _rank_digest(holder: str, revision: int) -> bytes:
    return blake2b(f'{revision} {holder}'.encode(), digest_size=8).digest()
