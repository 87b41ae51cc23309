"""Steps of feed_currency.feature for a store that comes back from an older copy."""

import asyncio
import re

from behave import when
from feed_region import started_fleet
from virtual_time import run_virtual

# Delays from the return of the store to the change, in seconds.
DELAYS_S = (0.0, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 6.0)
OBSERVED_S = 12


async def return_older(fleet, contents, outage_s):
    """Take the store away for a time, and return it with older contents."""
    fleet.source.is_up = not outage_s
    await asyncio.sleep(outage_s)
    fleet.source.restore(contents)
    fleet.source.is_up = True


async def write_and_lose(fleet, outages_s):
    """Write changes that the store loses when it returns; return the number of versions."""
    contents = fleet.source.copy_contents()
    versions = 1
    for outage_s in outages_s:
        for _ in range(3):
            versions += 1
            fleet.source.write('main', versions)
        await asyncio.sleep(2)
        await return_older(fleet, contents, outage_s)
    return versions


@when(
    'the store comes back {returns} without the last changes'
    ' and the manifest changes at any moment'
)
def step_restored(context, returns):
    outages_s = [float(text) for text in re.findall(r'after (\d+) s', returns)]

    async def run_once(delay_s):
        async with started_fleet(context.sizes) as fleet:
            versions = await write_and_lose(fleet, outages_s)
            await asyncio.sleep(delay_s)
            return await fleet.propagation_s(versions + 1, limit_s=OBSERVED_S)

    context.received_after_s = {delay_s: run_virtual(run_once(delay_s)) for delay_s in DELAYS_S}
