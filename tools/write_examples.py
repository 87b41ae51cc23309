"""Write the example deployments below examples/: a declaration and settings of 9 hosts each."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
HOSTS_BY_ZONE = {'a': 2, 'b': 1}
CALLER_PORT, PEER_PORT, OPERATOR_PORT, TARGET_PORT = 7001, 7002, 7003, 8000


def read_route(path: str, *, kbit: int) -> dict[str, Any]:
    return {'methods': ['GET', 'HEAD'], 'path': path, 'idempotent': True, 'mean_kbit': kbit}


def write_route(path: str, *, kbit: int) -> dict[str, Any]:
    return {'methods': ['POST'], 'path': path, 'keep_key_s': 600, 'mean_kbit': kbit}


@dataclass(kw_only=True)
class ExampleService:
    targets: int
    priority: int
    routes: list[dict[str, Any]]
    depends_on: dict[str, float] = field(default_factory=dict)
    deadline_ms: int = 2_000


@dataclass(kw_only=True)
class Example:
    name: str
    network: int
    store_port: int
    regions: list[str]
    capacity_mbit_s: int
    delay_ms: float
    slots: list[int]
    headroom: float
    services: dict[str, ExampleService]


SELOKOSMOS = Example(
    name='selokosmos',
    network=10,
    store_port=7000,
    regions=['attiki', 'makedonia', 'peloponnisos'],
    capacity_mbit_s=280,
    delay_ms=12,
    slots=[3, 4, 5],
    headroom=0.1,
    services={
        'bookings': ExampleService(
            targets=12,
            priority=0,
            routes=[
                read_route('/bookings', kbit=32),
                write_route('/bookings', kbit=32),
                write_route('/deposits', kbit=16),
            ],
            depends_on={'diary': 1},
        ),
        'diary': ExampleService(
            targets=16, priority=1, routes=[read_route('/diary', kbit=64)], deadline_ms=1_500
        ),
        'shopfront': ExampleService(
            targets=12,
            priority=2,
            routes=[read_route('/', kbit=256)],
            depends_on={'diary': 0.5},
        ),
    },
)

SURYATAP = Example(
    name='suryatap',
    network=20,
    store_port=7010,
    regions=['saurashtra', 'kutch', 'north-guj'],
    capacity_mbit_s=4_000,
    delay_ms=35,
    slots=[3],
    headroom=0.25,
    services={
        'panelbook': ExampleService(
            targets=12,
            priority=0,
            routes=[read_route('/panels', kbit=32), write_route('/swaps', kbit=16)],
            depends_on={'ovenwatch': 0.5},
        ),
        'flourdesk': ExampleService(
            targets=12,
            priority=0,
            routes=[read_route('/batches', kbit=64), write_route('/orders', kbit=16)],
            depends_on={'ovenwatch': 0.2},
        ),
        'ovenwatch': ExampleService(
            targets=14, priority=1, routes=[read_route('/ovens', kbit=16)], deadline_ms=1_500
        ),
    },
)


def make_targets(example: Example, service: str) -> list[dict[str, Any]]:
    number = list(example.services).index(service) + 1
    targets = []
    for index in range(example.services[service].targets):
        turn, region = divmod(index, len(example.regions))
        zone = f'{example.regions[region]}-{"ab"[turn % 2]}'
        targets.append(
            {
                'address': f'127.{example.network}.{region + 1}.{20 * number + turn}:{TARGET_PORT}',
                'availability_zone': zone,
                'slots': example.slots[turn % len(example.slots)],
                'connections': 330,
            }
        )
    return targets


def make_declaration(example: Example) -> dict[str, Any]:
    first, second, third = example.regions
    return {
        'deployment': example.name,
        'regions': {
            region: {'availability_zones': [f'{region}-{zone}' for zone in HOSTS_BY_ZONE]}
            for region in example.regions
        },
        'links': [
            {
                'between': pair,
                'capacity_mbit_s': example.capacity_mbit_s,
                'delay_ms': example.delay_ms,
            }
            for pair in ([first, second], [first, third], [second, third])
        ],
        'services': {
            name: {
                'targets': make_targets(example, name),
                'depends_on': service.depends_on,
                'routes': service.routes,
                'priority': service.priority,
                'headroom': example.headroom,
                'shift_cap': {'fraction': 0.1, 'per_s': 60},
                'failover_cap': {'fraction': 1, 'per_s': 10},
                'deadline_ms': service.deadline_ms,
                'refusal_statuses': [503],
                'echoes_request_id': True,
                'slow_start_s': 10,
            }
            for name, service in example.services.items()
        },
        'trial': {'share': 0.1, 'duration_s': 30, 'min_requests': 50},
    }


def make_settings(example: Example) -> list[dict[str, Any]]:
    hosts = []
    for region_number, region in enumerate(example.regions, start=1):
        number = 0
        for zone, count in HOSTS_BY_ZONE.items():
            for index in range(1, count + 1):
                number += 1
                ip = f'127.{example.network}.{region_number}.{number}'
                hosts.append(
                    {
                        'deployment': example.name,
                        'host': f'{region}-{zone}-{index}',
                        'region': region,
                        'availability_zone': f'{region}-{zone}',
                        'caller_address': f'{ip}:{CALLER_PORT}',
                        'peer_address': f'{ip}:{PEER_PORT}',
                        'operator_address': f'{ip}:{OPERATOR_PORT}',
                        'store': {'address': f'127.0.0.1:{example.store_port}'},
                    }
                )
    for host in hosts:
        host['seeds'] = [
            other['peer_address']
            for other in hosts
            if other['host'].endswith('-1') and other is not host
        ]
    return hosts


def write_json(path: Path, document: dict[str, Any]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=2) + '\n')


def main() -> None:
    for example in (SELOKOSMOS, SURYATAP):
        folder = EXAMPLES / example.name
        write_json(folder / 'declaration.json', make_declaration(example))
        for settings in make_settings(example):
            write_json(folder / 'hosts' / f'{settings["host"]}.json', settings)


if __name__ == '__main__':
    main()
