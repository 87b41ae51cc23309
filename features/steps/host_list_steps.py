"""Steps for membership.feature on the host list."""

import asyncio
import random

from behave import given, then, when

from balsamrail.errors import StoreUnavailableError
from balsamrail.membership import HostListPolicy
from balsamrail.membership.host_list import HostList
from balsamrail.store import ListedHost
from features.steps.platform_helpers import make_environment
from features.steps.virtual_time import run_virtual

_HOUR_S = 3_600
# 195 hosts at 15 calls/s: 13 s, half as much again by jitter, and one tick of 7.5 s.
_MAX_RETRY_S = 27
LISTED = [ListedHost(host='own', address='10.0.0.1:1', state='live')]


class CountingStore:
    """Counts the calls; those before ``down_until`` fail."""

    def __init__(self, *, down_until=0.0):
        self.calls = 0
        self.down_until = down_until

    async def list_hosts(self):
        self.calls += 1
        if asyncio.get_running_loop().time() < self.down_until:
            raise StoreUnavailableError('down')
        return LISTED


def make_list(*, fleet_size=9, policy=None):
    return HostList(
        environment=make_environment(),
        fleet_size=lambda: fleet_size,
        policy=policy or HostListPolicy(),
    )


async def _poll(hosts, store, seconds):
    tasks = [asyncio.create_task(host.poll(store=store)) for host in hosts]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()


@when('{size:d} hosts read the host list for an hour at {rate:g} calls/s for all together')
def step_poll(context, size, rate):
    random.seed(context.seed)

    async def main():
        policy = HostListPolicy(fleet_polls_per_s=rate)
        store = CountingStore()
        await _poll(
            [make_list(fleet_size=size, policy=policy) for _ in range(size)], store, _HOUR_S
        )
        context.calls = store.calls - size

    run_virtual(main())


@then('they made at most {limit:d} calls besides the first of each')
def step_calls(context, limit):
    assert 0 < context.calls <= limit, context.calls


@when('{size:d} hosts fail to read the host list in the first {down_s:d} s')
def step_down(context, size, down_s):
    random.seed(context.seed)

    async def main():
        policy = HostListPolicy(fleet_polls_per_s=0.5)
        context.lists = [make_list(fleet_size=size, policy=policy) for _ in range(size)]
        await _poll(context.lists, CountingStore(down_until=down_s), down_s + _MAX_RETRY_S)

    run_virtual(main())


@then('each has read it 27 s after that')
def step_read(context):
    unread = [host for host in context.lists if not host.hosts()]
    assert not unread, len(unread)


@given('host lists of a platform whose entries expire and of one whose entries do not')
def step_lists(context):
    async def main():
        return [
            make_list(policy=HostListPolicy(entries_expire=entries_expire))
            for entries_expire in (True, False)
        ]

    context.lists = run_virtual(main())


@when('a list without host x is read')
def step_update(context):
    async def main():
        for host_list in context.lists:
            host_list.update(LISTED)

    run_virtual(main())


@then('x counts as removed only where entries expire')
def step_removed(context):
    assert [host_list.is_unlisted('x') for host_list in context.lists] == [True, False]
