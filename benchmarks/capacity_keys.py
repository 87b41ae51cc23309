"""Scaling of idempotency keys and of claims of caller-generated keys."""

import asyncio
import json
from dataclasses import replace

import async_solipsism
from tornado.httputil import HTTPHeaders

from balsamrail.forwarding import Response
from balsamrail.forwarding.claim_partition import ClaimPartition
from balsamrail.forwarding.key_table import KeyTable
from benchmarks import claims
from benchmarks.capacity_model import environment_for
from benchmarks.measure import Traced, processor_us
from benchmarks.slope import Slope, fit_slope, measure_slope
from standins.memory_store import MemoryStore

KEYS = (500, 1_000, 2_000, 4_000)
CLAIMS = (625, 1_250, 2_500, 5_000)
RATES = (10, 100, 400, 1_000)
_HOLDER = 'host-0@01a2b3c4d5e6f7a8b9c0'
_FINGERPRINT_BYTES = 16


def _key(number: int) -> str:
    return f'{number:08x}-5c1e-4c2b-9d3f-0123456789ab'


async def _key_bytes(keys: int, *, answers: bool) -> int:
    environment = environment_for('host-0')
    if not answers:
        limits = replace(environment.settings.limits, kept_answer_bytes=0)
        environment.settings = replace(environment.settings, limits=limits)
    table = KeyTable(environment=environment)
    expiry = environment.clock.wall() + 600

    async def answer(number: int) -> Response:
        headers = HTTPHeaders({'Content-Type': 'application/json'})
        return Response(status=200, headers=headers, body=bytes(1_023) + bytes([number % 256]))

    with Traced() as traced:
        for number in range(keys):
            await table.run_once(
                f'host-0:01a2b3c4d5e6f7a8b9c0:1800000600.{_key(number)}',
                expiry_wall_s=expiry,
                fingerprint=number.to_bytes(_FINGERPRINT_BYTES),
                run=lambda number=number: answer(number),
            )
    return traced.kept


def _claims_bytes(count: int) -> int:
    value = {_key(number): [_HOLDER, 1_800_000_600.123456] for number in range(count)}
    return len(json.dumps(value, separators=(',', ':')))


def _write_us(count: int) -> float:
    """Return the processor time of a write to a claim partition with ``count`` claims."""
    store = MemoryStore(delay_s=0)
    loop = async_solipsism.EventLoop()

    async def make() -> ClaimPartition:
        environment = environment_for('host-0')
        part = ClaimPartition(environment=environment, store=store, number=0)
        expiry = environment.clock.wall() + 600
        # Leave room below the limit for the measured claims.
        for number in range(count - 50):
            part._claim_by_key[_key(number)] = (_HOLDER, expiry)
        part._version = 0
        return part

    part = loop.run_until_complete(make())
    expiry = part._environment.clock.wall() + 600
    added = iter(range(1_000_000, 2_000_000))

    def claim() -> None:
        key = _key(next(added))
        loop.run_until_complete(part.claim(key, holder=_HOLDER, expiry_wall_s=expiry))

    cost = processor_us(claim, rounds=5, repeats=5)
    loop.close()
    return cost


def _writes_per_s() -> Slope:
    measured = []
    for rate in RATES:
        loop = async_solipsism.EventLoop()
        writes, _ = loop.run_until_complete(claims._measure_bookings(rate=rate, grouped=True))
        loop.close()
        measured.append(writes / claims._DURATION_S)
    return fit_slope(
        name='keys.claim_writes_per_s against claims a second',
        unit='writes/claim',
        sizes=RATES,
        measured=measured,
    )


def slopes() -> list[Slope]:
    """Return the fitted slopes."""
    return [
        measure_slope(
            'keys.bytes_with_1_KB_answer against keys',
            unit='B/key',
            sizes=KEYS,
            measure=lambda size: asyncio.run(_key_bytes(size, answers=True)),
        ),
        measure_slope(
            'keys.bytes_without_answer against keys',
            unit='B/key',
            sizes=KEYS,
            measure=lambda size: asyncio.run(_key_bytes(size, answers=False)),
        ),
        measure_slope(
            'keys.claims_object_bytes against claims',
            unit='B/claim',
            sizes=CLAIMS,
            measure=_claims_bytes,
        ),
        measure_slope(
            'keys.claim_write_us against claims in the part',
            unit='us/claim',
            sizes=CLAIMS,
            measure=_write_us,
        ),
        _writes_per_s(),
    ]
