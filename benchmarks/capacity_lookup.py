"""Scaling of look-ups: block map and answers."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

from balsamrail.lookup import BlockMap, BlockSync, LookupTable
from benchmarks.capacity_model import declaration_with, environment_for, fleet_members
from benchmarks.measure import kept_bytes, peak_bytes, processor_us
from benchmarks.slope import Slope, measure_slope
from standins.memory_store import MemoryStore

BLOCKS = (125_000, 250_000, 500_000, 1_000_000)
HOSTS = (115, 230, 460, 920)
ANSWERS = (100, 200, 400, 800)
SITES = 250
_LAST_BLOCK = 224 << 16
_CALLERS = 1_000


def make_parts(blocks: int) -> list[bytes]:
    """Return a map of random blocks in its storage format."""
    choose = random.Random(1)
    chosen = choose.sample(range(1 << 16, _LAST_BLOCK), blocks)
    block_map = BlockMap.from_pairs((block, block % SITES) for block in chosen)
    return list(block_map.to_parts())


def make_table(*, hosts: int, block_map: BlockMap | None = None) -> LookupTable:
    """Return a look-up table with real members and a stub router."""
    environment = environment_for('host-0')
    declaration = declaration_with(targets=100)
    blocks = BlockSync(environment=environment, store=MemoryStore())
    blocks._block_map = block_map or BlockMap()
    blocks._regions = [f'region-{site % 10}' for site in range(SITES)]
    order = list(declaration.regions)
    router: Any = SimpleNamespace(
        region_order=lambda *, service, declaration, nearest_region: [
            nearest_region,
            *(name for name in order if name != nearest_region),
        ]
    )
    tracker: Any = SimpleNamespace(for_caller=lambda caller: (1, declaration))
    return LookupTable(
        environment=environment,
        tracker=tracker,
        members=fleet_members(environment, hosts=hosts),
        router=router,
        blocks=blocks,
    )


def callers(count: int) -> list[str]:
    """Return random caller addresses in distinct random /24 blocks."""
    choose = random.Random(2)
    return [
        f'{choose.randrange(1, 224)}.{choose.randrange(256)}.{choose.randrange(256)}.9'
        for _ in range(count)
    ]


def slopes() -> list[Slope]:
    """Return the fitted slopes."""
    return asyncio.run(_slopes())


async def _slopes() -> list[Slope]:
    parts_by_size = {size: make_parts(size) for size in BLOCKS}
    map_by_size = {size: BlockMap.from_parts(parts) for size, parts in parts_by_size.items()}
    known = callers(_CALLERS)

    def site_us(size: int) -> float:
        block_map = map_by_size[size]
        return processor_us(lambda: [block_map.site(one) for one in known], rounds=5) / _CALLERS

    def answer_us(table: LookupTable) -> float:
        def answer_all() -> None:
            for one in known:
                table.response_body(service='service-0', caller=one)

        return processor_us(answer_all, rounds=2, repeats=5) / _CALLERS

    def miss_us(hosts: int) -> float:
        table = make_table(hosts=hosts)

        def answer_uncached() -> None:
            table._response_by_key.clear()
            table.response_body(service='service-0', caller='10.1.2.3')

        return processor_us(answer_uncached, rounds=10, repeats=3)

    def answers_bytes(count: int) -> int:
        table = make_table(hosts=920)
        table.response_body(service='service-0', caller='10.1.2.3')
        groups = callers(2_000)

        def fill() -> None:
            for one in groups:
                if len(table._response_by_key) >= count:
                    return
                # Answers for the same address differ by service.
                for number in range(10):
                    table.response_body(service=f'service-{number}', caller=one)

        return kept_bytes(fill)

    return [
        measure_slope(
            'lookup.block_map_bytes against blocks',
            unit='B/block',
            sizes=BLOCKS,
            measure=lambda size: kept_bytes(lambda: BlockMap.from_parts(parts_by_size[size])),
        ),
        measure_slope(
            'lookup.block_map_build_peak_bytes against blocks',
            unit='B/block',
            sizes=BLOCKS,
            measure=lambda size: peak_bytes(lambda: BlockMap.from_parts(parts_by_size[size])),
        ),
        measure_slope(
            'lookup.block_map_build_us against blocks',
            unit='us/block',
            sizes=BLOCKS,
            measure=lambda size: processor_us(
                lambda: BlockMap.from_parts(parts_by_size[size]), rounds=1, repeats=3
            ),
        ),
        measure_slope(
            'lookup.site_us against blocks', unit='us/block', sizes=BLOCKS, measure=site_us
        ),
        measure_slope(
            'lookup.answer_us against blocks',
            unit='us/block',
            sizes=BLOCKS,
            measure=lambda size: answer_us(make_table(hosts=920, block_map=map_by_size[size])),
        ),
        measure_slope(
            'lookup.answer_us against hosts',
            unit='us/host',
            sizes=HOSTS,
            measure=lambda size: answer_us(make_table(hosts=size)),
        ),
        measure_slope(
            'lookup.new_answer_us against hosts', unit='us/host', sizes=HOSTS, measure=miss_us
        ),
        measure_slope(
            'lookup.kept_answers_bytes against answers',
            unit='B/answer',
            sizes=ANSWERS,
            measure=answers_bytes,
        ),
    ]
