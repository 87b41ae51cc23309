"""Steps of forwarding.feature for races of keyed calls and for expiring keys."""

import asyncio
import contextlib

from behave import then
from forwarding_host import Host
from hypothesis import given as given_examples
from hypothesis import strategies
from virtual_time import run_virtual

ATTEMPT_OUTCOMES = strategies.sampled_from(
    ['ok', 'slow', 'refuse', 'shed', 'cut', 'hang', 'stale']
)
# Key number, delay before the call and timeout of its caller, in hundredths of a second.
CALLS = strategies.tuples(
    strategies.integers(0, 2), strategies.integers(0, 60), strategies.integers(1, 300)
)


@then('no interleaving of {kind} violates a guarantee')
def step_interleavings(context, kind):
    limits = {'kept_keys': 2, 'kept_answer_bytes': 1_500} if 'tiny' in kind else {}

    @given_examples(
        script=strategies.lists(ATTEMPT_OUTCOMES, min_size=1, max_size=8),
        calls=strategies.lists(CALLS, min_size=1, max_size=12),
    )
    def check(script, calls):
        run_virtual(run_interleaving(script, calls, limits))

    check()


async def run_interleaving(script, calls, limits):
    host = Host(script, **limits)
    keys = [host.key(str(number), lasts_s=1 + 2 * number) for number in range(3)]
    tasks = []
    for number, pause, timeout in calls:
        await asyncio.sleep(pause / 100)
        tasks.append(asyncio.create_task(with_timeout(host.send('POST', keys[number]), timeout)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(3)
    assert host.history.faults() == [], host.history.faults()
    assert host.forwarder.in_flight() == 0
    kept = host.forwarder.dump()['keys']
    assert kept['records'] <= limits.get('kept_keys', 3)
    assert kept['kept_bytes'] <= limits.get('kept_answer_bytes', 10_000)
    await check_records_expired(host)


async def check_records_expired(host):
    await asyncio.sleep(6)
    await host.send('POST', host.key('last'))
    kept = host.forwarder.dump()['keys']
    assert kept['records'] <= 1 and kept['kept_bytes'] <= 1_100, kept


@then('a key that expires during its run leaves no record behind')
def step_expires(context):
    async def main():
        host = Host(['slow'])
        key = host.key(lasts_s=3)
        expiry_wall_s = int(key.split(':')[2].split('.')[0])
        await asyncio.sleep(expiry_wall_s - host.environment.clock.wall() - 0.3)
        run = asyncio.create_task(host.send('POST', key))
        await asyncio.sleep(0.4)
        await host.send('POST', host.key('next', lasts_s=3))
        await run
        await check_records_expired(host)

    run_virtual(main())


async def with_timeout(call, timeout):
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(call, timeout / 100)
