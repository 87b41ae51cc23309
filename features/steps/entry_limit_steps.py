"""Steps of entry.feature for a target that names a limit."""

import asyncio

from behave import then, when
from entry_steps import _play
from target_limits_steps import most_in_window

CONTACT_S = 3.0


def _limited_hosts(fleet, target_id):
    return {
        name
        for name, host in fleet.hosts.items()
        if host.delivery.target_registry.state_of(target_id).availability.limit is not None
    }


@when('a target names a limit of {limit:d} requests a second for {named_s:d} s under load')
def step_names_limit(context, limit, named_s):
    async def play(fleet):
        load = asyncio.create_task(fleet.load(named_s + 6))
        await asyncio.sleep(2)
        target = next(one for one in fleet.targets if one.name == 'lepu-attiki-a')
        target.limit = limit
        context.named_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1)
        context.not_informed = set(fleet.hosts) - _limited_hosts(fleet, target.name)
        await asyncio.sleep(named_s - 1)
        target.limit = None
        context.ended_at = asyncio.get_running_loop().time()
        await asyncio.sleep(3)
        context.still_limited = _limited_hosts(fleet, target.name)
        await load
        context.limited_target = target

    _play(context, play)


@then('it gets at most {most:d} requests in any 4 s from 3 s after the first naming on')
def step_limit_kept(context, most):
    arrivals = [
        at
        for at in context.limited_target.arrivals
        if context.named_at + CONTACT_S <= at < context.ended_at
    ]
    assert 1 <= most_in_window(arrivals) <= most, most_in_window(arrivals)


@then('all hosts know of the limit 1 s after the first naming, and of its end 3 s after it')
def step_all_informed(context):
    assert not context.not_informed, context.not_informed
    assert not context.still_limited, context.still_limited
