"""Processor time of look-ups, compared with a minimal Tornado handler, and block map memory.

Callers and both servers share one process, so both times include the cost of the callers.
"""

import asyncio
import statistics
import sys
import time
from collections.abc import Iterator

from tornado.web import RequestHandler

from balsamrail.lookup import BlockMap, LookupHandler
from benchmarks.capacity_lookup import make_parts, make_table
from benchmarks.capacity_model import environment_for
from benchmarks.figure import Figure
from benchmarks.forwarding import listen
from benchmarks.measure import kept_bytes, processor_us
from benchmarks.report import report

_ROUNDS = 9
_REQUESTS = 400
_HOSTS = 920
_BLOCKS = 3_500_000
_US_IN_S = 1_000_000
# Two bytes per block and 256 KB of offsets.
_BYTES_PER_BLOCK = 2.1
_RATIO = 1.5
# Cost of an uncached answer, as after each membership change, relative to the minimal handler.
_NEW_ANSWER_RATIO = 10


class BareHandler(RequestHandler):
    """Responds with a body of the same length."""

    def initialize(self, *, body: str) -> None:
        self.body = body

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(self.body)

    def compute_etag(self) -> None:
        """Disable ETags, as the look-up handler does."""


async def _call(port: int) -> float:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    started = time.process_time()
    for _ in range(_REQUESTS):
        writer.write(b'GET /lookup/service-0 HTTP/1.1\r\nHost: bench\r\n\r\n')
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200'), head
        length = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
        await reader.readexactly(length)
    used_s = time.process_time() - started
    writer.close()
    return used_s * _US_IN_S / _REQUESTS


async def _new_answer_us() -> float:
    table = make_table(hosts=_HOSTS)

    def answer_uncached() -> None:
        table._response_by_key.clear()
        table.response_body(service='service-0', caller='10.1.2.3')

    return processor_us(answer_uncached, rounds=20)


async def _costs(block_map: BlockMap) -> list[tuple[float, float]]:
    table = make_table(hosts=_HOSTS, block_map=block_map)
    body = table.response_body(service='service-0', caller='127.0.0.1')
    bare = listen(BareHandler, pattern='/lookup/service-0', body=body)
    lookup = listen(
        LookupHandler,
        pattern='/lookup/([^/]+)',
        environment=environment_for('host-0'),
        table=table,
    )
    return [(await _call(bare), await _call(lookup)) for _ in range(_ROUNDS)][1:]


def run() -> Iterator[Figure]:
    """Yield the costs; the ratios and the memory have bounds."""
    parts = make_parts(_BLOCKS)
    block_map = BlockMap.from_parts(parts)
    size = kept_bytes(lambda: BlockMap.from_parts(parts))
    yield Figure(
        name='lookup.block_map_bytes_per_block',
        value=size / _BLOCKS,
        unit='B/block',
        bound=_BYTES_PER_BLOCK,
    )
    costs = asyncio.run(_costs(block_map))
    bare = statistics.median(bare for bare, _ in costs)
    lookup = statistics.median(lookup for _, lookup in costs)
    yield Figure(name='lookup.bare_us', value=bare, unit='us/request')
    yield Figure(name='lookup.processor_us', value=lookup, unit='us/request')
    ratio = statistics.median(lookup / bare for bare, lookup in costs)
    yield Figure(name='lookup.ratio', value=ratio, unit='times', bound=_RATIO)

    yield Figure(
        name='lookup.new_answer_ratio',
        value=asyncio.run(_new_answer_us()) / bare,
        unit='times',
        bound=_NEW_ANSWER_RATIO,
    )


if __name__ == '__main__':
    sys.exit(report(run()))
