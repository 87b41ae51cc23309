"""Keeps the manifest of this host confirmed by questions to peers and reads of the store."""

import asyncio
import random
from collections.abc import Sequence
from contextlib import suppress
from typing import Any, Protocol

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.object_view import ObjectView
from balsamrail.environment import Environment
from balsamrail.fleet.consistent_reader import ConsistentReader
from balsamrail.fleet.manifest_lease import ManifestLease
from balsamrail.fleet.manifest_questions import ManifestQuestions
from balsamrail.fleet.reader_role import ReaderRole
from balsamrail.fleet.renewal_schedule import RenewalSchedule
from balsamrail.membership import Member

# How often a host without the setting looks whether it has been added.
_SETTINGS_INTERVAL_S = 1.0
_MIN_SLEEP_S = 0.02
# For a shorter bound hosts ask and read as for this one, so that a bound of 0 s costs no more calls.
_MIN_BOUND_S = 1.0
# The assignment of the host and its path to the store are looked at in this interval, a fraction of
# revoke_s.
_MAX_SLEEP = 0.15
# A slow store is asked again while an answer is outstanding.
_MAX_PENDING_READS = 2


class RenewalWatch(Protocol):
    """The assignment of this host and its sources of changes."""

    def reader_role(self) -> ReaderRole:
        """Return the part of this host in reading the store."""

    def may_reach_store(self) -> bool:
        """Return whether the store may answer this host."""

    def sources(self, *, only_healthy: bool = False) -> list[str]:
        """Return the followed hosts.

        :param only_healthy: leave out those that do not receive every change, unless none does.
        """


class MemberSource(Protocol):
    """Read access to the member table."""

    def alive(self) -> list[Member]:
        """Return the members that are alive, this host included."""


class ManifestRenewal:
    """Runs the schedule of questions and reads; without ``bounds.revoke_s`` it does nothing.

    :param view: the view of the manifests.
    :param chance: the source of random numbers; tests use their own.
    """

    __slots__ = (
        '_asked_count',
        '_chance',
        '_environment',
        '_has_manifest',
        '_lease',
        '_members',
        '_questions',
        '_reader',
        '_reads',
        '_schedule',
        '_view',
        '_wake',
        '_watch',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        lease: ManifestLease,
        members: MemberSource,
        questions: ManifestQuestions,
        reader: ConsistentReader,
        view: ObjectView,
        watch: RenewalWatch,
        chance: random.Random | None = None,
    ) -> None:
        self._environment = environment
        self._lease = lease
        self._members = members
        self._questions = questions
        self._reader = reader
        self._view = view
        self._watch = watch
        self._chance = chance or random.Random()
        self._schedule: RenewalSchedule | None = None
        self._has_manifest = False
        self._asked_count = 0
        self._reads: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        catalog.subscribe(self._on_catalog_change)
        view.subscribe(lambda _: lease.note_era(view.complete_revision.era))

    async def run(self) -> None:
        """Renew the evidence until cancelled."""
        try:
            while True:
                self._wake.clear()
                await self._sleep(self._step())
        finally:
            for read in list(self._reads):
                read.cancel()

    async def _sleep(self, sleep_s: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(sleep_s):
                await self._wake.wait()

    def dump(self) -> dict[str, Any]:
        """Return the state of the lease and the part of this host as plain data."""
        role = self._watch.reader_role().value if self._lease.is_required() else None
        return {**self._lease.dump(), 'reader': role}

    def _on_catalog_change(self) -> None:
        if not self._has_manifest and self._lease.manifest_version():
            # It came from a peer, or from a listing that is evidence itself.
            self._wake.set()

    def _step(self) -> float:
        """Ask and read what is due; return the time until the next step in seconds."""
        revoke_s = self._environment.settings.bounds.revoke_s
        if revoke_s is None:
            self._schedule = None
            return _SETTINGS_INTERVAL_S
        revoke_s = max(revoke_s, _MIN_BOUND_S)
        if self._schedule is None or self._schedule.revoke_s != revoke_s:
            self._schedule = RenewalSchedule(
                revoke_s=revoke_s, random_fraction=self._chance.random
            )
        self._lease.report()
        self._has_manifest = bool(self._lease.manifest_version())
        if not self._has_manifest:
            return _MAX_SLEEP * revoke_s
        now = self._environment.clock.boottime()
        self._schedule.note_manifest(now=now)
        return self._ask_and_read(self._schedule, now)

    def _ask_and_read(self, schedule: RenewalSchedule, now: float) -> float:
        until = self._lease.confirmed_until
        role = self._watch.reader_role()
        schedule.note_evidence(now=now, confirmed_until=until)
        if schedule.question_due_at(confirmed_until=until, role=role) <= now:
            self._ask(schedule, now)
        is_read_possible = self._view.is_listed and self._watch.may_reach_store()
        if is_read_possible and len(self._reads) < _MAX_PENDING_READS:
            if schedule.read_due_at(confirmed_until=until, role=role) <= now:
                self._read(schedule, now)
            read_due_at = schedule.read_due_at(confirmed_until=until, role=role)
        else:
            read_due_at = now + _MAX_SLEEP * schedule.revoke_s
        due_at = min(read_due_at, schedule.question_due_at(confirmed_until=until, role=role))
        return min(_MAX_SLEEP * schedule.revoke_s, max(_MIN_SLEEP_S, due_at - now))

    def _ask(self, schedule: RenewalSchedule, now: float) -> None:
        until = self._lease.confirmed_until
        is_to_all = schedule.is_old(now=now, confirmed_until=until)
        sources = self._watch.sources(only_healthy=not is_to_all)
        if is_to_all:
            asked: Sequence[str] = sources
            if schedule.may_need_strangers(now=now, confirmed_until=until):
                asked = [*sources, *self._stranger(sources)]
        else:
            self._asked_count += 1
            asked = [sources[self._asked_count % len(sources)]] if sources else ()
        schedule.note_question(now=now, is_to_all=is_to_all)
        for host in asked:
            self._questions.ask(host)

    def _stranger(self, sources: Sequence[str]) -> list[str]:
        """Return a random host that is not followed, none if all are."""
        own = self._environment.settings.host
        strangers = [
            member.host
            for member in self._members.alive()
            if member.host != own and member.host not in sources and member.is_serving()
        ]
        return [self._chance.choice(strangers)] if strangers else []

    def _read(self, schedule: RenewalSchedule, now: float) -> None:
        schedule.note_read(now=now)
        task = asyncio.create_task(self._run_read(schedule))
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)

    async def _run_read(self, schedule: RenewalSchedule) -> None:
        is_answered = False
        try:
            is_answered = await self._reader.read()
        except Exception as error:
            # What a subscriber of the view cannot handle must not end the renewal either.
            self._environment.log.event('manifest_read_failed', reason=repr(error))
        schedule.note_outcome(is_answered=is_answered)
