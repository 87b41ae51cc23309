"""Reports on requests that crash their targets, in the platform's store."""

from contextlib import suppress
from typing import Any

from balsamrail.catalog.revision import Revision
from balsamrail.environment import Environment
from balsamrail.errors import StoreConflictError
from balsamrail.messages import CrashReport
from balsamrail.platform import fields
from balsamrail.platform.object_store import ObjectStore

_KIND = 'balsamrail-crashes'


class CrashStore:
    """Keeps the reports on each fingerprint in an object of its own.

    Hosts of earlier versions neither read nor write them. Implements
    :class:`~balsamrail.exchange.crash_archive.CrashSource`.
    """

    __slots__ = ('_environment', '_revision_by_fingerprint', '_store')

    def __init__(self, *, environment: Environment, store: ObjectStore) -> None:
        self._environment = environment
        self._store = store
        self._revision_by_fingerprint: dict[bytes, Revision] = {}

    async def list_crashes(self) -> list[CrashReport]:
        """Return all reports; they may be seconds old.

        :raises StoreError: if the store did not answer.
        """
        listing = await self._store.list_objects(_KIND, is_stale_allowed=True)
        reports: list[CrashReport] = []
        for stored in listing.objects:
            try:
                found = _read_reports(stored.name, stored.spec)
            except fields.FIELD_ERRORS:
                self._environment.log.event('crash_entry_rejected', object=stored.name)
                continue
            self._revision_by_fingerprint[bytes.fromhex(stored.name)] = stored.revision
            reports.extend(found)
        return reports

    async def save_crashes(self, reports: list[CrashReport]) -> None:
        """Write the reports on one fingerprint.

        :raises StoreError: if the store did not accept them.
        """
        entries = [
            {'service': each.service, 'target': each.target, 'wallS': each.wall_s}
            for each in reports
        ]
        name = reports[0].fingerprint.hex()
        await self._store.create_or_replace(_KIND, name, spec={'crashes': entries})

    async def delete_crashes(self, fingerprint: bytes) -> None:
        """Remove the reports on a fingerprint unless they have changed since they were listed.

        :raises StoreError: if the store did not do it.
        """
        revision = self._revision_by_fingerprint.pop(fingerprint, None)
        if revision is not None:
            with suppress(StoreConflictError):
                await self._store.delete(_KIND, fingerprint.hex(), revision=revision)


def _read_reports(name: str, spec: Any) -> list[CrashReport]:
    fingerprint = bytes.fromhex(name)
    return [
        CrashReport(
            fingerprint=fingerprint,
            service=fields.string(entry['service']),
            target=fields.string(entry['target']),
            wall_s=fields.number(entry['wallS']),
        )
        for entry in map(fields.mapping, fields.mapping(spec)['crashes'])
    ]
