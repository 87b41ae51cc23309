"""Run the upstream stand-ins of all targets of a region, or of a single target, in one process.

Used by tools/fleet.py: ``python -m tools.demo_upstreams --declaration FILE --region attiki``.
"""

import argparse
import asyncio
import json
import os
from functools import partial
from pathlib import Path

from standins.serving import serve_forever
from standins.upstream import UpstreamStandIn
from standins.upstream_behaviour import UpstreamBehaviour

CRASH_STATUS = 70


class RegionStandIn:
    def __init__(self, targets: list[UpstreamStandIn]) -> None:
        self.targets = targets

    async def start(self) -> None:
        for target in self.targets:
            await target.start()

    async def stop(self) -> None:
        for target in self.targets:
            await target.stop()


def make_targets(options: argparse.Namespace) -> list[UpstreamStandIn]:
    declaration = json.loads(options.declaration.read_text())
    zones = declaration['regions'].get(options.region, {}).get('availability_zones', [])
    behaviour = json.loads(options.behaviour)
    return [
        UpstreamStandIn(
            service=service,
            address=target['address'],
            behaviour=UpstreamBehaviour(**{'slots': target['slots'], **behaviour}),
            executions_path=executions_path(options.executions, target['address']),
            # A single target ends its process; targets of a region only close their sockets.
            crash=partial(os._exit, CRASH_STATUS) if options.target else None,
        )
        for service, declared in declaration['services'].items()
        for target in declared['targets']
        if target['address'] == options.target
        or (target['availability_zone'] in zones and service != options.without)
    ]


def executions_path(folder: Path | None, address: str) -> Path | None:
    return None if folder is None else folder / f'executions-{address}.jsonl'


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--declaration', type=Path, required=True)
    where = parser.add_mutually_exclusive_group(required=True)
    where.add_argument('--region')
    where.add_argument('--target', help='address of a single target')
    parser.add_argument('--without', help='a service whose targets run in other processes')
    parser.add_argument('--behaviour', default='{}', help='behaviour as a JSON object')
    parser.add_argument('--executions', type=Path, help='folder for the execution logs')
    options = parser.parse_args()
    asyncio.run(serve_forever(RegionStandIn(make_targets(options))))


if __name__ == '__main__':
    main()
