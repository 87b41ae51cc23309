"""The routing state of a host."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.environment import Environment


class Catalog:
    """The active manifest, the registered targets and the evacuated availability zones.

    The version of the manifest never decreases during the lifetime of the process.
    """

    __slots__ = (
        '_entries_by_service',
        '_environment',
        '_has_unpublished_changes',
        '_is_published',
        '_subscribers',
        'entries_by_id',
        'evacuated_zones',
        'manifest',
    )

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self.manifest: Manifest | None = None
        self.entries_by_id: dict[str, TargetEntry] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self._entries_by_service: dict[str, dict[str, TargetEntry]] = {}
        self._has_unpublished_changes = False
        self._is_published = False
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` after every change."""
        self._subscribers.append(on_change)

    def is_ready(self) -> bool:
        """Return whether a manifest is active."""
        return self.manifest is not None

    def offer_manifest(self, manifest: Manifest) -> bool:
        """Activate a manifest if it is newer than the active one; return whether it was activated."""
        if self.manifest is not None and manifest.version <= self.manifest.version:
            return False
        self.manifest = manifest
        self._environment.log.event(
            'manifest_in_force',
            version=manifest.version,
            routes=len(manifest.routes),
            confined=_count_confined(manifest),
            **({'customers': len(manifest.customers)} if manifest.has_customers else {}),
        )
        self._notify_subscribers()
        return True

    def put_target(self, entry: TargetEntry) -> None:
        """Add or update a target; subscribers are notified by :meth:`publish`."""
        known = self.entries_by_id.get(entry.target_id)
        if known == entry:
            return
        if known is not None:
            del self._entries_by_service[known.service][known.target_id]
        self.entries_by_id[entry.target_id] = entry
        self._entries_by_service.setdefault(entry.service, {})[entry.target_id] = entry
        self._has_unpublished_changes = True
        if not self._is_published:
            # The targets of the first listing are logged together in one line.
            return
        self._environment.log.event(
            'target_known',
            target=entry.target_id,
            service=entry.service,
            address=entry.address,
            zone=entry.availability_zone,
            draining=entry.is_draining,
            cold_left_s=entry.cold_left_s,
            born_ms=entry.born_ms,
        )

    def drop_target(self, target_id: str, *, reason: str) -> None:
        """Remove a target; subscribers are notified by :meth:`publish`."""
        entry = self.entries_by_id.pop(target_id, None)
        if entry is not None:
            del self._entries_by_service[entry.service][target_id]
            self._environment.log.event('target_gone', target=target_id, reason=reason)
            self._has_unpublished_changes = True

    def publish(self) -> None:
        """Notify the subscribers once of all changes of targets since the last call."""
        if not self._has_unpublished_changes:
            return
        if not self._is_published:
            self._is_published = True
            self._log_first_targets()
        self._notify_subscribers()

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Replace the set of evacuated availability zones."""
        if zones != self.evacuated_zones:
            self.evacuated_zones = zones
            self._environment.log.event('zones_evacuated', zones=','.join(sorted(zones)))
            self._notify_subscribers()

    def targets_of(self, service: str) -> list[TargetEntry]:
        """Return the registered targets of a service that are not draining."""
        entries = self._entries_by_service.get(service, {}).values()
        return [entry for entry in entries if not entry.is_draining]

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'manifest_version': self.manifest.version if self.manifest else None,
            'targets': {
                target_id: {
                    'service': entry.service,
                    'zone': entry.availability_zone,
                    'draining': entry.is_draining,
                }
                for target_id, entry in self.entries_by_id.items()
            },
            'evacuated_zones': sorted(self.evacuated_zones),
        }

    def _log_first_targets(self) -> None:
        count_by_service = Counter(entry.service for entry in self.entries_by_id.values())
        draining = [entry.target_id for entry in self.entries_by_id.values() if entry.is_draining]
        self._environment.log.event(
            'targets_listed',
            targets=','.join(
                f'{service}:{count}' for service, count in sorted(count_by_service.items())
            ),
            draining=','.join(draining),
        )

    def _notify_subscribers(self) -> None:
        self._has_unpublished_changes = False
        for on_change in self._subscribers:
            on_change()


def _count_confined(manifest: Manifest) -> str:
    """Return the number of confined routes for each set of allowed regions, as text."""
    count_by_regions = Counter(
        '+'.join(sorted(route.allowed_regions))
        for route in manifest.routes
        if route.allowed_regions
    )
    return ','.join(f'{regions}:{count}' for regions, count in sorted(count_by_regions.items()))
