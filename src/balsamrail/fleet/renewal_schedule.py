"""When a host asks its peers and reads the store to keep its manifest confirmed."""

import math
import random
from collections.abc import Callable

from balsamrail.fleet.reader_role import ReaderRole

# All are fractions of the bound on withdrawals (revoke_s). A lease lasts 0.8. Callers are owed service for
# 0.6 after a host has lost the store, so that evidence should not be much older than 0.2.
_READ_INTERVAL = 0.2
# A host asks when the first watcher should have read again, and repeats it until it gets newer evidence,
# so that the evidence of a follower is hardly older than that of its source.
_RENEWAL_AGE = 0.22
_QUESTION_INTERVAL = 0.04
# From this age on all sources are asked, at shorter intervals.
_OLD_AGE = 0.34
_OLD_QUESTION_INTERVAL = 0.08
# The first interval of a host that refuses requests; each further one is twice as long.
_MIN_QUESTION_INTERVAL = 0.02
# The ages from which on other hosts than the first watcher read.
_RESERVE_READ_AGE = 0.36
_FOLLOWER_READ_AGE = 0.48
# Evidence that has been renewed within this time makes them wait, but not beyond the second age.
_MAX_ADVANCE_INTERVAL = 0.26
_MAX_READ_AGE = 0.64
# Hosts that lose their sources together read at different moments.
_READ_SPREAD = 0.08
# A host without any evidence counts as this old when it gets its first manifest: its peers get some time
# to answer before it reads.
_FIRST_MANIFEST_AGE = 0.4
_MAX_DOUBLINGS = 2


class RenewalSchedule:
    """Decides from the age of the evidence when to ask and to read next.

    All times are those of :meth:`balsamrail.clock.Clock.boottime`::

        schedule = RenewalSchedule(revoke_s=5)
        schedule.note_manifest(now=20)
        schedule.question_due_at(confirmed_until=18, role=ReaderRole.follower)

    :param random_fraction: returns a random number from 0 to 1.
    """

    __slots__ = (
        '_advanced_at',
        '_asked_all_at',
        '_asked_at',
        '_failure_count',
        '_first_manifest_at',
        '_fruitless_rounds',
        '_random_fraction',
        '_read_at',
        '_seen_until',
        '_spread_s',
        '_spread_until',
        'revoke_s',
    )

    def __init__(
        self, *, revoke_s: float, random_fraction: Callable[[], float] = random.random
    ) -> None:
        self.revoke_s = revoke_s
        self._random_fraction = random_fraction
        self._asked_at = -math.inf
        self._asked_all_at = -math.inf
        # Rounds of questions to all sources since the last evidence.
        self._fruitless_rounds = 0
        self._seen_until = -math.inf
        self._advanced_at = -math.inf
        self._read_at = -math.inf
        self._failure_count = 0
        self._first_manifest_at = math.inf
        self._spread_until = math.nan
        self._spread_s: float = 0

    def note_manifest(self, *, now: float) -> None:
        """Note that there is a manifest to confirm."""
        self._first_manifest_at = min(self._first_manifest_at, now)

    def is_old(self, *, now: float, confirmed_until: float) -> bool:
        """Return whether all sources are to be asked."""
        return now >= self._old_at(confirmed_until)

    def may_need_strangers(self, *, now: float, confirmed_until: float) -> bool:
        """Return whether a host that this one does not follow is to be asked too."""
        age_s = now - confirmed_until
        if age_s < _FOLLOWER_READ_AGE * self.revoke_s or self._fruitless_rounds < 1:
            return False
        # Asking a stranger opens a connection, so it is done less often in a long outage.
        return age_s < self.revoke_s or not self._fruitless_rounds % 10

    def question_due_at(self, *, confirmed_until: float, role: ReaderRole) -> float:
        """Return the time of the next question."""
        old_at = self._old_at(confirmed_until)
        interval = min(
            _OLD_QUESTION_INTERVAL,
            _MIN_QUESTION_INTERVAL * (1 << min(self._fruitless_rounds, 3)),
        )
        old_due_at = max(old_at, self._asked_all_at + interval * self.revoke_s)
        if role is ReaderRole.first:
            return old_due_at
        renewal_at = max(
            confirmed_until + _RENEWAL_AGE * self.revoke_s,
            self._asked_at + _QUESTION_INTERVAL * self.revoke_s,
        )
        return min(old_due_at, renewal_at)

    def note_question(self, *, now: float, is_to_all: bool) -> None:
        """Note that one source has been asked, or all of them."""
        self._asked_at = now
        if is_to_all:
            self._asked_all_at = now
            self._fruitless_rounds += 1

    def note_evidence(self, *, now: float, confirmed_until: float) -> None:
        """Note the evidence at this time, which is called often."""
        if confirmed_until > self._seen_until:
            self._seen_until = confirmed_until
            self._advanced_at = now
            self._fruitless_rounds = 0

    def read_due_at(self, *, confirmed_until: float, role: ReaderRole) -> float:
        """Return the time of the next read, infinite while there is no manifest."""
        if self._first_manifest_at == math.inf:
            return math.inf
        doublings = min(self._failure_count, _MAX_DOUBLINGS)
        earliest = self._read_at + _READ_INTERVAL * self.revoke_s * (1 << doublings)
        known_until = max(
            confirmed_until, self._first_manifest_at - _FIRST_MANIFEST_AGE * self.revoke_s
        )
        match role:
            case ReaderRole.first:
                # After a listing it has evidence without a read.
                return max(earliest, confirmed_until + _READ_INTERVAL * self.revoke_s)
            case ReaderRole.reserve:
                return max(earliest, self._stalled_at(known_until, _RESERVE_READ_AGE))
        if known_until != self._spread_until:
            self._spread_until = known_until
            self._spread_s = self._random_fraction() * _READ_SPREAD * self.revoke_s
        return max(earliest, self._stalled_at(known_until, _FOLLOWER_READ_AGE) + self._spread_s)

    def note_read(self, *, now: float) -> None:
        """Note that a read has been sent."""
        self._read_at = now

    def note_outcome(self, *, is_answered: bool) -> None:
        """Note whether the store has answered a read."""
        self._failure_count = 0 if is_answered else self._failure_count + 1

    def _stalled_at(self, known_until: float, age: float) -> float:
        """Return when evidence of an age counts as stalled.

        If the store is slow, evidence is old and yet renewed all the time, and further reads would only
        add to the store's load.
        """
        return min(
            max(
                known_until + age * self.revoke_s,
                self._advanced_at + _MAX_ADVANCE_INTERVAL * self.revoke_s,
            ),
            known_until + _MAX_READ_AGE * self.revoke_s,
        )

    def _old_at(self, confirmed_until: float) -> float:
        return confirmed_until + _OLD_AGE * self.revoke_s
