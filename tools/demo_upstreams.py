"""Runs the stand-ins of all targets of one region in this process.

Used by tools/run_demo.py: ``python -m tools.demo_upstreams --declaration FILE --region attiki``.
"""

import argparse
import asyncio
import json
from pathlib import Path

from standins.serving import serve_forever
from standins.upstream import UpstreamStandIn
from standins.upstream_behaviour import UpstreamBehaviour


class RegionStandIn:
    def __init__(self, targets: list[UpstreamStandIn]) -> None:
        self.targets = targets

    async def start(self) -> None:
        for target in self.targets:
            await target.start()

    async def stop(self) -> None:
        for target in self.targets:
            await target.stop()


def make_targets(declaration: dict, region: str) -> list[UpstreamStandIn]:
    zones = declaration['regions'][region]['availability_zones']
    return [
        UpstreamStandIn(
            service=service,
            address=target['address'],
            behaviour=UpstreamBehaviour(slots=target['slots']),
        )
        for service, declared in declaration['services'].items()
        for target in declared['targets']
        if target['availability_zone'] in zones
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--declaration', type=Path, required=True)
    parser.add_argument('--region', required=True)
    options = parser.parse_args()
    declaration = json.loads(options.declaration.read_text())
    asyncio.run(serve_forever(RegionStandIn(make_targets(declaration, options.region))))


if __name__ == '__main__':
    main()
