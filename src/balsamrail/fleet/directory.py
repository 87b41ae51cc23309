"""Answers callers' look-ups of hosts."""

from collections import Counter
from collections.abc import Collection
from typing import Any, Protocol

from balsamrail.catalog.catalog import Catalog
from balsamrail.environment import Environment
from balsamrail.membership import Member

_MAX_LISTED_HOSTS = 64
# Stands for every region that is not configured in the deployment.
_OTHER_REGION = 'other'


class MemberSource(Protocol):
    """Read access to the member table."""

    def advertised(self) -> list[Member]:
        """Return the members that are believed to be serving requests."""


class ManifestLeaseStatus(Protocol):
    """Reports whether this host accepts API keys."""

    def is_confirmed(self) -> bool:
        """Return whether the manifest of this host is known to be recent enough."""


class Directory:
    """Selects hosts near a caller.

    Only hosts of the caller's availability zone, or else of its region, are returned if there are
    any, since requests may be confined to regions and traffic between regions is charged.
    Otherwise the hosts of the regions to which the routes of the host name are confined are
    returned, or else all hosts. A host that has just started and has no manifest yet returns only
    hosts near the caller.

    Hosts that announced that they reach few targets are left out as long as at least half of the
    zone's hosts remain, or else of the region's: the remaining ones have to carry the callers of
    those. This host leaves itself out while it refuses keys for lack of a confirmed manifest, if its region
    has other hosts. If all hosts that would be returned are suspected to be lost, those that would be returned
    without them are returned as well.
    """

    __slots__ = (
        '_catalog',
        '_cross_region_counts',
        '_environment',
        '_manifest_lease',
        '_members',
        'is_leaving',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        members: MemberSource,
        manifest_lease: ManifestLeaseStatus | None = None,
    ) -> None:
        self._environment = environment
        self._catalog = catalog
        self._members = members
        self._manifest_lease = manifest_lease
        # Consecutive look-ups answered with hosts of other regions, by the caller's region.
        self._cross_region_counts: Counter[str] = Counter()
        self.is_leaving = False

    def addresses(self, *, name: str, region: str, zone: str = '') -> list[str]:
        """Return the caller-facing addresses of the hosts to use; empty if there are none.

        :param name: the host name that the caller will send requests for.
        :param region: the region of the caller.
        :param zone: the availability zone of the caller, empty if unknown.
        """
        named = self._hosts_for(name=name, region=region, zone=zone)
        self._track_cross_region(region, {member.region for member in named})
        return [member.caller_address for member in named]

    def dump(self) -> dict[str, Any]:
        """Return the hosts that a caller in this host's region gets, as plain data."""
        named = self._hosts_for(name='', region=self._environment.settings.region)
        return {
            'named': [member.caller_address for member in named],
            'outside_by_region': dict(self._cross_region_counts),
        }

    def _hosts_for(self, *, name: str, region: str, zone: str = '') -> list[Member]:
        members = self._usable_members()
        nearest = self._nearest(members, name=name, region=region, zone=zone)
        if all(member.state == 'suspect' for member in nearest):
            # They may be lost, and the caller needs a host that runs.
            unsuspected = [member for member in members if member.state != 'suspect']
            running = self._nearest(unsuspected, name=name, region=region, zone=zone)
            nearest = [*running, *nearest]
        return nearest[:_MAX_LISTED_HOSTS]

    def _usable_members(self) -> list[Member]:
        own = self._environment.settings.host
        members = self._members.advertised()
        others = [member for member in members if member.host != own]
        if self.is_leaving:
            return others
        has_neighbours = bool(_in_regions(others, {self._environment.settings.region}))
        return others if has_neighbours and self._refuses_keys() else members

    def _refuses_keys(self) -> bool:
        return self._manifest_lease is not None and not self._manifest_lease.is_confirmed()

    def _nearest(
        self, members: list[Member], *, name: str, region: str, zone: str
    ) -> list[Member]:
        in_zone = [member for member in members if member.availability_zone == zone]
        in_region = _in_regions(members, {region})
        nearest = (
            _undegraded_majority(in_zone)
            or _undegraded_majority(in_region)
            or in_zone
            or in_region
        )
        if nearest:
            return nearest
        if not self._catalog.is_ready():
            # Until the manifest is known the member table may be incomplete, so that the lack of
            # hosts in the caller's region proves nothing.
            return []
        manifest = self._catalog.manifest
        allowed_regions = (
            manifest.allowed_regions_of_host(host=name.lower()) if manifest else frozenset()
        )
        return _in_regions(members, allowed_regions) or members

    def _track_cross_region(self, region: str, named: set[str]) -> None:
        """Log the start and the end of a series of look-ups answered with other regions' hosts."""
        if region not in self._environment.settings.region_by_availability_zone.values():
            # The region is caller input; each distinct value would add a counter and log lines.
            region = _OTHER_REGION
        if named - {region}:
            self._environment.metrics.count('lookups_outside_region')
            self._cross_region_counts[region] += 1
            if self._cross_region_counts[region] == 1:
                self._environment.log.event(
                    'lookup_outside_region', caller=region, named=','.join(sorted(named))
                )
        elif region in self._cross_region_counts:
            self._environment.log.event(
                'lookup_inside_again',
                caller=region,
                outside=self._cross_region_counts.pop(region),
            )


def _undegraded_majority(members: list[Member]) -> list[Member]:
    """Return the members that reach targets, none if they are fewer than half."""
    undegraded = [member for member in members if member.state != 'degraded']
    return undegraded if len(undegraded) * 2 >= len(members) else []


def _in_regions(members: list[Member], regions: Collection[str]) -> list[Member]:
    return [member for member in members if member.region in regions]
