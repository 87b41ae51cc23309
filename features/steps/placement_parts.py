"""Targets, routes and target selection of a host for the steps about placement."""

import platform_helpers
from virtual_time import run_virtual

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.catalog.service_spec import ServiceSpec
from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.catalog.weighted_service import WeightedService
from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_selector import TargetSelector

REGION_BY_ZONE = {
    'attiki-a': 'attiki',
    'attiki-b': 'attiki',
    'attiki-c': 'attiki',
    'makedonia-a': 'makedonia',
    'kriti-a': 'kriti',
}


def make_entry(target_id, **changes):
    fields = {
        'service': 'lepu',
        'address': '127.0.0.1:1',
        'availability_zone': 'attiki-a',
        'version': '1',
        'slots': 2,
        'is_draining': False,
        'cold_left_s': 0,
        'born_ms': 1,
        **changes,
    }
    region = REGION_BY_ZONE[fields['availability_zone']]
    return TargetEntry(target_id=target_id, region=region, **fields)


def make_route(**changes):
    fields = {
        'name': 'r1',
        'host': 'lepu.example',
        'path_prefix': '/',
        'is_idempotent': True,
        'timeout_s': 2,
        'aim_s': 0.5,
        'priority': 0,
        'max_attempts': 3,
        'is_sticky': True,
        'allowed_regions': frozenset(),
        'parts': (WeightedService(service='lepu', weight=1),),
        **changes,
    }
    return ManifestRoute(**fields)


def make_manifest(*routes, version=1, **service):
    fields = {
        'health_path': '/health',
        'max_connections': 100,
        'warmup_s': 4,
        'warmup_per_s': 2,
        **service,
    }
    return Manifest(
        version=version,
        routes=routes or (make_route(),),
        services={'lepu': ServiceSpec(name='lepu', **fields)},
        limits=CallerLimits(),
    )


async def _make_environment(settings):
    return platform_helpers.make_environment(**settings)


class Placement:
    """The catalog, target states and target selection of one host."""

    def __init__(self, *entries, manifest=None, **settings):
        settings = {'region_by_availability_zone': REGION_BY_ZONE, **settings}
        self.environment = run_virtual(_make_environment(settings))
        self.catalog = Catalog(environment=self.environment)
        self.catalog.offer_manifest(manifest or make_manifest())
        self.target_registry = TargetRegistry(
            catalog=self.catalog, settings=self.environment.settings
        )
        self.fleet = FleetHosts(
            own_host=self.environment.settings.host, own_region=self.environment.settings.region
        )
        self.target_selector = TargetSelector(
            target_registry=self.target_registry,
            send_limits=SendLimits(fleet=self.fleet, target_registry=self.target_registry),
        )
        self.put(*entries)

    def put(self, *entries, now=0):
        for entry in entries:
            self.catalog.put_target(entry)
        self.target_registry.refresh(now=now)

    def select(self, route=None, *, object_key='x', tried=(), now=0):
        return self.target_selector.select(
            route or make_route(), service='lepu', object_key=object_key, tried=tried, now=now
        )
