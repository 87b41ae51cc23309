"""Declarations, members and environments for the capacity measurements."""

import io
import json
from typing import Any

from balsamrail import Environment, Settings
from balsamrail.configuration import Declaration, load_declaration
from balsamrail.logs import Log
from balsamrail.membership import Members
from balsamrail.messages import MemberUpdate
from balsamrail.settings import StoreSettings
from balsamrail.store import ListedHost

REGIONS = 10
SERVICES = 10


def declaration_document(*, targets: int) -> dict[str, Any]:
    """Return a declaration of ten services in ten regions with ``targets`` targets in total."""
    zones_by_region = {
        f'region-{number}': [f'region-{number}-{zone}' for zone in 'abc']
        for number in range(REGIONS)
    }
    zones_by_region['region-0'].append('region-0-d')
    names = list(zones_by_region)
    services: dict[str, Any] = {
        f'service-{number}': {
            'targets': [],
            'routes': [
                {'methods': ['GET'], 'path': '/', 'idempotent': True},
                {'methods': ['POST'], 'path': '/', 'idempotent': False, 'keep_key_s': 600},
            ],
            'shift_cap': {'fraction': 0.1, 'per_s': 10},
        }
        for number in range(SERVICES)
    }
    for number in range(targets):
        # Consecutive targets belong to all services of a region, then to the next region.
        region = names[number // SERVICES % REGIONS]
        zones = zones_by_region[region]
        services[f'service-{number % SERVICES}']['targets'].append(
            {
                'address': f'10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:8080',
                'availability_zone': zones[number // 100 % len(zones)],
                'slots': 4,
                'connections': 330,
            }
        )
    links = [
        {'between': [one, two], 'capacity_mbit_s': 4_000, 'delay_ms': 35}
        for one in names
        for two in names
        if one < two
    ]
    return {
        'deployment': 'capacity',
        'regions': {
            name: {'availability_zones': zones} for name, zones in zones_by_region.items()
        },
        'links': links,
        'services': services,
    }


def declaration_with(*, targets: int) -> Declaration:
    """Return the parsed declaration of :func:`declaration_document`."""
    return load_declaration(json.dumps(declaration_document(targets=targets)))


def environment_for(host: str) -> Environment:
    """Return the environment of a host; requires a running event loop."""
    settings = Settings(
        deployment='capacity',
        host=host,
        region='region-0',
        availability_zone='region-0-a',
        caller_address='10.200.0.1:80',
        peer_address='10.200.0.1:7000',
        operator_address='10.200.0.1:81',
        store=StoreSettings(address='10.255.255.255:1'),
    )
    return Environment.create(settings=settings, log=Log(host=host, output=io.StringIO()))


def member_update(number: int, *, refutation: int = 0) -> MemberUpdate:
    """Return the update of host ``number`` about itself."""
    region = f'region-{number % REGIONS}'
    return MemberUpdate(
        host=f'host-{number}',
        incarnation=f'{1_800_000_000_000 + number:012x}{number:08x}',
        refutation=refutation,
        state='alive',
        observer=f'host-{number}',
        peer_address=f'10.200.{number // 250}.{number % 250 + 1}:7000',
        caller_address=f'10.200.{number // 250}.{number % 250 + 1}:80',
        region=region,
        availability_zone=f'{region}-{"abc"[number // REGIONS % 3]}',
    )


def fleet_members(environment: Environment, *, hosts: int) -> Members:
    """Return the member table of a fleet, including the host list of the platform."""
    members = Members(environment=environment)
    for number in range(1, hosts):
        members.apply(member_update(number))
    members.host_list.update(listed_hosts(hosts))
    return members


def listed_hosts(count: int) -> list[ListedHost]:
    """Return a host list of the platform with ``count`` live hosts."""
    return [
        ListedHost(
            host=f'host-{number}',
            address=f'10.200.{number // 250}.{number % 250 + 1}:7000',
            state='live',
        )
        for number in range(count)
    ]
