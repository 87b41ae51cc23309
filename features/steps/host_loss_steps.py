"""Steps for host_loss.feature on an in-memory fleet with the settings of the platform."""

import asyncio

from behave import given, then, when

from balsamrail.membership import HostListPolicy
from balsamrail.settings import Limits
from features.steps.membership_steps import logged_changes
from features.steps.memory_fleet import make_fleet, run, wait_until

OPTIONS = {
    'limits': Limits(heartbeat_s=0.5, suspect_after_s=1.5, gone_after_s=0.5),
    'has_loss_record': True,
    'members': {
        'panic_mode': False,
        'host_list_policy': HostListPolicy(fleet_polls_per_s=0.5, entries_expire=False),
    },
}


def advertised_names(host):
    return {member.host for member in host.members.advertised()}


def names_of(hosts):
    return {host.name for host in hosts}


def survivors_of(context):
    return context.fleet.hosts[: context.survivors]


def cut_off(context, host):
    context.fleet.network.group_by_address[host.address] = f'cut {host.name}'


def lose_power(context, host):
    host.pause()
    cut_off(context, host)


@given('a platform fleet of {size:d} hosts')
def step_fleet(context, size):
    make_fleet(context, size=size, options=OPTIONS)
    run(context, asyncio.sleep(5))
    assert not logged_changes(context, 'suspect')


@when('all but {survivors:d} of them {failure}')
def step_lose(context, survivors, failure):
    async def lose():
        for host in context.fleet.hosts[survivors:]:
            if failure == 'die':
                host.kill()
            else:
                lose_power(context, host)

    context.survivors = survivors
    run(context, lose())


@when('all but {survivors:d} of them freeze for {seconds:d} s, twice')
def step_freeze(context, survivors, seconds):
    async def freeze():
        for _ in range(2):
            for host in context.fleet.hosts[survivors:]:
                host.pause()
            await asyncio.sleep(seconds)
            for host in context.fleet.hosts[survivors:]:
                host.resume()
            await asyncio.sleep(seconds)

    run(context, freeze())


@when('one host freezes for {seconds:d} s')
def step_freeze_one(context, seconds):
    async def freeze():
        context.observed.pause()
        await asyncio.sleep(seconds)
        context.observed.resume()

    context.observed = context.fleet.hosts[0]
    run(context, freeze())


@when('one host is cut off from the others and from the store for {seconds:d} s')
def step_cut(context, seconds):
    context.observed = context.fleet.hosts[0]
    context.observed.store.is_cut_off = True
    step_cut_peers(context, seconds)
    context.observed.store.is_cut_off = False


@when('one host is cut off from the others for {seconds:d} s')
def step_cut_peers(context, seconds):
    context.observed = context.fleet.hosts[0]
    cut_off(context, context.observed)
    run(context, asyncio.sleep(seconds))
    context.fleet.network.group_by_address.clear()


@when('the store is away and all but {survivors:d} of them lose power')
def step_lose_without_store(context, survivors):
    context.fleet.store.list_down = True
    step_lose(context, survivors, 'lose power')


@when('the store is back')
def step_store_back(context):
    context.fleet.store.list_down = False


@when('one host reaches few targets and all others lose power')
def step_degraded(context):
    async def announce():
        context.fleet.hosts[0].members.announce_degraded(True)
        await asyncio.sleep(1)

    run(context, announce())
    step_lose(context, 1, 'lose power')


@then('no survivor names a lost host {seconds:d} s later')
def step_named(context, seconds):
    run(context, asyncio.sleep(seconds))
    lost = names_of(context.fleet.hosts[context.survivors :])
    named = {host.name: sorted(advertised_names(host) & lost) for host in survivors_of(context)}
    assert not any(named.values()), named


@then('every survivor names all survivors')
def step_survivors_named(context):
    survivors = names_of(survivors_of(context))
    for host in survivors_of(context):
        assert advertised_names(host) == survivors, (host.name, advertised_names(host))


@then('that host never took another one for gone')
def step_never_gone(context):
    own = context.observed.name
    gone = [member for observer, member in logged_changes(context, 'gone') if observer == own]
    assert not gone, gone


@then('the survivor has taken no host for gone {seconds:d} s later')
def step_none_gone(context, seconds):
    run(context, asyncio.sleep(seconds))
    gone = [
        member
        for observer, member in logged_changes(context, 'gone')
        if observer == context.fleet.hosts[0].name
    ]
    assert not gone, gone


@then('every host names all hosts within {limit:d} s')
def step_all_named(context, limit):
    names = names_of(context.fleet.hosts)
    run(
        context,
        wait_until(
            lambda: all(advertised_names(host) == names for host in context.fleet.hosts), limit
        ),
    )
