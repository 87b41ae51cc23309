"""Health of all regions for all services."""

from typing import Any

from balsamrail.steering.collaborators import MemberView
from balsamrail.steering.region_health import RegionHealth
from balsamrail.steering.routing_plan import RoutingPlan
from balsamrail.steering.target_pickers import TargetPickers


class RegionHealthMonitor:
    """Measures the fraction of usable targets for each service and region.

    A region that had hosts also counts as failed when none of them is alive, because no host can
    serve its callers there.
    """

    __slots__ = ('_health_by_service_region', '_known_regions', '_members', '_pickers')

    def __init__(self, *, members: MemberView, pickers: TargetPickers) -> None:
        self._members = members
        self._pickers = pickers
        self._health_by_service_region: dict[tuple[str, str], RegionHealth] = {}
        self._known_regions: set[str] = set()

    def step(self, *, plan: RoutingPlan, now: float) -> dict[str, set[str]]:
        """Take one measurement and return the failed regions by service."""
        regions = {member.region for member in self._members.alive()}
        self._known_regions |= regions
        regions_without_hosts = self._known_regions - regions
        failed_by_service: dict[str, set[str]] = {}
        for service in plan.declaration.services:
            failed_by_service[service] = {
                region
                for region in plan.declaration.regions
                if self._is_failed(
                    plan=plan,
                    service=service,
                    region=region,
                    regions_without_hosts=regions_without_hosts,
                    now=now,
                )
            }
        return failed_by_service

    def dump(self) -> dict[str, Any]:
        """Return the health of each service and region as plain data."""
        return {
            f'{service}/{region}': health.failed
            for (service, region), health in sorted(self._health_by_service_region.items())
        }

    def _is_failed(
        self,
        *,
        plan: RoutingPlan,
        service: str,
        region: str,
        regions_without_hosts: set[str],
        now: float,
    ) -> bool:
        targets = plan.targets(service=service, region=region)
        if not targets:
            return True
        picker = self._pickers.get(service=service, region=region)
        remaining = [
            target for target in targets if not self._members.is_listed_as_leaving(target.address)
        ]
        part = picker.usable_fraction(remaining, now=now) * len(remaining) / len(targets)
        usable = 0 if region in regions_without_hosts else part
        health = self._health_by_service_region.setdefault((service, region), RegionHealth())
        return health.observe(usable, now=now)
