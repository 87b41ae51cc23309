"""Whether this host may still rely on its manifest for the API keys of customers."""

import math
from typing import Any

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.era_tracker import EraTracker
from balsamrail.environment import Environment
from balsamrail.fleet.pending_evidence import PendingEvidence

# Fraction of the bound on withdrawals (revoke_s) for which evidence is enough. The rest covers clocks of
# hosts that run at different rates.
_LEASE_FRACTION = 0.8
# After a return from an older copy of the store, the operator writes lost changes again in this time.
_REWRITE_S = 2.0
# Until then evidence counts for at most this fraction of the bound more than the evidence before the
# return, since a lost withdrawal may be older than the evidence but not than the one before.
_RETURN_FRACTION = 0.1
_STORE = 'store'
_NO_SOURCE = 'none'


class ManifestLease:
    """Keeps the time up to which this host's manifest is known to have been the newest in the store.

    Evidence is a read of the store or the answer of a peer, and counts from before the call or the
    question was sent. A manifest that replaces another one keeps the evidence: what had not been
    written by then still had not. All times are those of :meth:`balsamrail.clock.Clock.boottime`.
    Without the setting ``bounds.revoke_s`` the manifest always counts as confirmed.
    """

    __slots__ = (
        '_catalog',
        '_environment',
        '_era',
        '_has_expired',
        '_limited_until',
        '_pending',
        '_source',
        '_started_at',
        '_until_before_return',
        '_was_confirmed',
        'confirmed_until',
    )

    def __init__(self, *, environment: Environment, catalog: Catalog) -> None:
        self._environment = environment
        self._catalog = catalog
        self._started_at = environment.clock.boottime()
        # Nothing newer than the manifest of this host had been written up to this time.
        self.confirmed_until = -math.inf
        self._source = _NO_SOURCE
        self._era = EraTracker()
        self._limited_until = -math.inf
        self._until_before_return = -math.inf
        self._pending: PendingEvidence | None = None
        self._was_confirmed = False
        self._has_expired = False
        catalog.subscribe(self._on_catalog_change)

    @property
    def era(self) -> int:
        """The newest era of the store that this host knows."""
        return self._era.era

    def manifest_version(self) -> int:
        """Return the version of the manifest in force, 0 if there is none."""
        manifest = self._catalog.manifest
        return 0 if manifest is None else manifest.version

    def is_required(self) -> bool:
        """Return whether keys are accepted only with a confirmed manifest."""
        return self._environment.settings.bounds.revoke_s is not None

    def is_confirmed(self) -> bool:
        """Return whether keys of the manifest in force may be accepted now."""
        revoke_s = self._environment.settings.bounds.revoke_s
        return revoke_s is None or self.age_s() < _LEASE_FRACTION * revoke_s

    def age_s(self) -> float:
        """Return the age of the evidence in seconds, infinite if there is none."""
        return self._environment.clock.boottime() - self.confirmed_until

    def reported_age_s(self) -> float:
        """Return the age of the evidence, or the time since the start if there is none."""
        now = self._environment.clock.boottime()
        return now - max(self.confirmed_until, self._started_at)

    def note_era(self, era: int) -> None:
        """Note an era of the store.

        A new one limits evidence until the operator has written again what the store has lost.
        """
        if not self._era.advance(era):
            return
        now = self._environment.clock.boottime()
        if now >= self._limited_until:
            self._until_before_return = self.confirmed_until
        self._limited_until = now + _REWRITE_S

    def note_read(self, *, sent_at: float, era: int) -> None:
        """Note that all changes which a consistent read of the store showed have been applied.

        :param sent_at: the time before the call was sent.
        :param era: the era of the store in the answer.
        """
        self.note_era(era)
        if era >= self.era:
            self._record(sent_at, _STORE)

    def note_answer(
        self, *, host: str, sent_at: float, age_s: float, version: int, era: int
    ) -> None:
        """Note the answer of a peer that has evidence.

        :param sent_at: the time before the question was sent.
        :param age_s: the age of the peer's evidence when it answered.
        :param version: the version of the peer's manifest.
        """
        self.note_era(era)
        if age_s < 0 or era < self.era:
            return
        evidence = PendingEvidence(version=version, until=sent_at - age_s, source=host)
        if version == self.manifest_version():
            self._record(evidence.until, host)
        elif version > self.manifest_version():
            # It counts as soon as this host has that manifest.
            self._pending = evidence

    def report(self) -> None:
        """Log if the lease has expired or is back; call it several times a second."""
        is_confirmed = self.is_confirmed()
        if is_confirmed == self._was_confirmed or not self.is_required():
            return
        self._was_confirmed = is_confirmed
        if not is_confirmed:
            self._has_expired = True
            self._log('manifest_lease_expired')
        elif self._has_expired:
            self._log('manifest_lease_renewed')

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'is_required': self.is_required(),
            'is_confirmed': self.is_confirmed(),
            'age_s': round(self.reported_age_s(), 3),
            'source': self._source,
            'manifest_version': self.manifest_version(),
            'era': self.era,
        }

    def _on_catalog_change(self) -> None:
        pending = self._pending
        if pending is None or pending.version > self.manifest_version():
            return
        self._pending = None
        if pending.version == self.manifest_version():
            self._record(pending.until, pending.source)

    def _record(self, until: float, source: str) -> None:
        # An expiry may not have been reported yet, for example after the process was stopped.
        self.report()
        until = min(until, self._limit(until))
        if until > self.confirmed_until:
            self.confirmed_until = until
            self._source = source
            self.report()

    def _limit(self, until: float) -> float:
        """Return the latest time that evidence may confirm."""
        if until >= self._limited_until:
            return math.inf
        revoke_s = self._environment.settings.bounds.revoke_s or 0
        return self._until_before_return + _RETURN_FRACTION * revoke_s

    def _log(self, event: str) -> None:
        self._environment.metrics.count(event)
        self._environment.log.event(
            event,
            age_s=round(self.reported_age_s(), 3),
            version=self.manifest_version(),
            source=self._source,
        )
