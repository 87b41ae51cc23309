"""Keeps in the platform's store which requests crash their targets."""

import asyncio
from typing import Any, Protocol

from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.exchange.crash_registry import CrashRegistry
from balsamrail.messages import CrashReport

_RETRY_INTERVAL_S = 1.0
# Bounds the calls of a host that starts after many requests were refused.
_MAX_DELETIONS = 20


class CrashSource(Protocol):
    """Reads and writes crash reports in the store."""

    async def list_crashes(self) -> list[CrashReport]:
        """Return all reports.

        :raises StoreError: if the store did not answer.
        """

    async def save_crashes(self, reports: list[CrashReport]) -> None:
        """Write the reports on one fingerprint in place of the present ones.

        :raises StoreError: if the store did not accept them.
        """

    async def delete_crashes(self, fingerprint: bytes) -> None:
        """Remove the reports on a fingerprint, if they are still those that were listed.

        :raises StoreError: if the store did not do it.
        """


class CrashArchive:
    """Restores the refused requests on a host that starts, if all hosts ended at the same time.

    A request is written to the store once it is refused, by the hosts that saw one of its crashes.
    Hosts that join a running fleet hear of it from their peers as well.

    :param limit: the number of crashes from which on a request is refused.
    """

    __slots__ = (
        '_environment',
        '_is_due',
        '_limit',
        '_own_fingerprints',
        '_registry',
        '_source',
        '_unsaved',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        registry: CrashRegistry,
        source: CrashSource,
        limit: int,
    ) -> None:
        self._environment = environment
        self._registry = registry
        self._source = source
        self._limit = limit
        # The fingerprints of which this host reported a crash and that are not saved yet.
        self._own_fingerprints: set[bytes] = set()
        self._unsaved: set[bytes] = set()
        self._is_due = asyncio.Event()
        registry.subscribe(self._note)

    async def run(self) -> None:
        """Restore the requests once, and save those that are refused, until cancelled."""
        # The first hosts of a fleet find nothing.
        is_restored = self._environment.settings.is_first_start
        while True:
            try:
                if not is_restored:
                    await self._restore()
                    is_restored = True
                await self._is_due.wait()
                self._is_due.clear()
                await self._save()
            except StoreError as error:
                self._environment.log.event('crash_archive_failed', reason=error)
                await asyncio.sleep(_RETRY_INTERVAL_S)
                if self._unsaved:
                    self._is_due.set()

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'unsaved': len(self._unsaved), 'own': len(self._own_fingerprints)}

    def _note(self, report: CrashReport, is_own: bool) -> None:
        fingerprint = report.fingerprint
        if is_own:
            self._own_fingerprints.add(fingerprint)
        if fingerprint not in self._own_fingerprints:
            return
        if len(self._registry.reports_of(fingerprint)) >= self._limit:
            self._own_fingerprints.discard(fingerprint)
            self._unsaved.add(fingerprint)
            self._is_due.set()

    async def _restore(self) -> None:
        by_fingerprint: dict[bytes, list[CrashReport]] = {}
        for report in await self._source.list_crashes():
            by_fingerprint.setdefault(report.fingerprint, []).append(report)
        for reports in by_fingerprint.values():
            self._registry.add(reports)
        expired = [each for each in by_fingerprint if not self._registry.reports_of(each)]
        for fingerprint in expired[:_MAX_DELETIONS]:
            await self._source.delete_crashes(fingerprint)
        if by_fingerprint:
            self._environment.log.event(
                'crashes_restored', count=len(by_fingerprint), expired=len(expired)
            )

    async def _save(self) -> None:
        while self._unsaved:
            fingerprint = next(iter(self._unsaved))
            reports = self._registry.reports_of(fingerprint)
            if reports:
                await self._source.save_crashes(reports)
            self._unsaved.discard(fingerprint)
