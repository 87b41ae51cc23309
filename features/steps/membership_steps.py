"""Steps of membership.feature."""

import asyncio
import re

import async_solipsism
from behave import given, then, when

from balsamrail.membership.updates import make_hello, make_update, update_from_hello
from features.steps.memory_fleet import MemoryFleet, run, wait_until

OPTIONS = {}


def make_fleet(context, **arguments):
    async def begin():
        context.fleet = MemoryFleet(seed=context.seed, options=dict(OPTIONS), **arguments)
        context.fleet.start()

    async def end():
        context.fleet.stop()
        await asyncio.sleep(1)

    def stop():
        run(context, end())
        context.loop.close()

    context.loop = async_solipsism.EventLoop()
    context.stoppers = [stop]
    run(context, begin())


def changes(context, state):
    """Return (observing host, member) of each change to ``state`` that was logged."""
    lines = [line for host in context.fleet.hosts for line in host.log.lines]
    pattern = re.compile(rf'event=member_changed host=(\S+) member=(\S+) state={state} ')
    return [match.groups() for match in map(pattern.search, lines) if match]


async def kill(host):
    host.kill()


@given('a fleet of {size:d} hosts that loses {loss:d}% of messages')
def step_lossy_fleet(context, size, loss):
    make_fleet(context, size=size, loss=loss / 100)


@given('a fleet of {size:d} hosts')
def step_fleet(context, size):
    make_fleet(context, size=size)


@given('a fleet of {size:d} hosts that do not know each other')
def step_strangers(context, size):
    make_fleet(context, size=size, introduce=False)


@when('{seconds:d} s pass')
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('host {number:d} dies')
def step_dies(context, number):
    run(context, kill(context.fleet.hosts[number]))


@when('host {number:d} starts again and is not ready')
def step_start_unready(context, number):
    async def restart():
        context.fleet.restart(number, options={'members': {'is_ready': False}})

    run(context, restart())


def others(context, number):
    return [host for index, host in enumerate(context.fleet.hosts) if index != number]


def names(host, other):
    return other.name in {member.host for member in host.members.nameable()}


@then('host {number:d} is starting everywhere and named nowhere')
def step_starting(context, number):
    started = context.fleet.hosts[number]
    states = {host.state_of(started.name) for host in others(context, number)}
    assert states == {'starting'}, states
    assert not [host.name for host in context.fleet.hosts if names(host, started)]
    for host in others(context, number):
        assert started.name in {member.host for member in host.members.alive()}


@when('host {number:d} is ready')
def step_ready(context, number):
    async def serve():
        context.fleet.hosts[number].members.serve()

    run(context, serve())


@then('host {number:d} is named everywhere within {limit:d} s')
def step_named_everywhere(context, number, limit):
    started = context.fleet.hosts[number]
    run(
        context,
        wait_until(lambda: all(names(host, started) for host in context.fleet.hosts), limit),
    )


@when('host 8 starts again, knows the table and meets host 7 by its greeting alone')
def step_greeting(context):
    async def greet():
        greeting = make_hello(context.fleet.hosts[7].members.own())
        newcomer = context.fleet.restart(8)
        newcomer.members.apply(update_from_hello(greeting))
        context.newcomer = newcomer

    run(context, greet())


@then('host 8 names host 7')
def step_newcomer_names(context):
    assert names(context.newcomer, context.fleet.hosts[7])


@when('host {number:d} loses power')
def step_power(context, number):
    host = context.fleet.hosts[number]
    host.pause()
    context.fleet.network.group_by_address[host.address] = 'off'


@when('hosts {first:d} to {last:d} are cut off')
def step_cut(context, first, last):
    for host in context.fleet.hosts[first : last + 1]:
        context.fleet.network.group_by_address[host.address] = 'cut'


@when('hosts {first:d} to {last:d} are cut off together for {seconds:d} s')
def step_cut_for(context, first, last, seconds):
    step_cut(context, first, last)
    run(context, asyncio.sleep(seconds))
    assert changes(context, 'gone'), 'the cut was not noticed'
    context.fleet.network.group_by_address.clear()


@when('host 7 begins to suspect host 8 with another observer, and is paused for {seconds:d} s')
def step_pause(context, seconds):
    async def pause():
        sleeper, other, third = (context.fleet.hosts[number] for number in (7, 8, 9))
        sleeper.members.suspect(other.name)
        known = sleeper.members.get(other.name)
        sleeper.members.apply(make_update(known, observer=third.name))
        sleeper.pause()
        await asyncio.sleep(seconds)
        context.gone_meanwhile = third.state_of(sleeper.name)
        sleeper.resume()

    run(context, pause())


@when('all open streams between host 0 and its neighbours go silent')
def step_silence(context):
    network = context.fleet.network
    own = context.fleet.hosts[0].address
    for host in context.fleet.hosts[1:]:
        network.silence(own, host.address)


@when('the host list becomes empty')
def step_empty_list(context):
    context.fleet.store.listed_by_host.clear()


@when('the host list drops host {number:d}')
def step_drop_listed(context, number):
    context.fleet.store.listed_by_host.pop(context.fleet.hosts[number].name)


@when('host 1 alone claims for 20 s that listed host 4 and unlisted host 5 do not answer')
def step_one_observer(context):
    async def claim():
        # Two hosts that never run cannot refute, and no other host watches them.
        observer = context.fleet.hosts[1].members
        context.fleet.stop()
        context.fleet.store.listed_by_host.pop('host-5')
        observer.host_list.update(await context.fleet.store.list_hosts())
        for _ in range(20):
            observer.suspect('host-4')
            observer.suspect('host-5')
            observer.tick()
            await asyncio.sleep(1)

    run(context, claim())


@when('host 4 finishes and host 5 is restarted')
def step_finish_restart(context):
    hosts = context.fleet.hosts
    context.old_holders = [hosts[number].environment.holder for number in (4, 5)]
    run(context, finish_and_restart(context.fleet))


async def finish_and_restart(fleet):
    fleet.hosts[4].members.leave()
    fleet.hosts[4].members.finish()
    await asyncio.sleep(1)
    fleet.hosts[4].kill()
    fleet.restart(5)


@then('no host was ever {state}')
def step_never(context, state):
    wanted = 'suspect' if state == 'suspected' else state
    assert not changes(context, wanted), changes(context, wanted)[:5]


@then('host {number:d} is gone everywhere within {limit:d} s')
def step_gone(context, number, limit):
    name = context.fleet.hosts[number].name
    others = [host for host in context.fleet.hosts if host.name != name]
    run(context, wait_until(lambda: all(h.state_of(name) == 'gone' for h in others), limit))
    assert {member for _, member in changes(context, 'gone')} == {name}


@then('host {number:d} was gone meanwhile')
def step_was_gone(context, number):
    assert context.gone_meanwhile == 'gone', context.gone_meanwhile


@then('every host is alive everywhere within {limit:d} s')
def step_all_alive(context, limit):
    names = {host.name for host in context.fleet.hosts}

    def agreed():
        return all(
            {member.host for member in host.members.known() if member.state == 'alive'}
            == names - {host.name}
            for host in context.fleet.hosts
        )

    run(context, wait_until(agreed, limit))


@then('only host {number:d} was ever gone')
def step_only_gone(context, number):
    gone = {member for _, member in changes(context, 'gone')}
    assert gone == {context.fleet.hosts[number].name}, gone


@then('host {number:d} has replaced silent streams')
def step_replaced(context, number):
    metrics = context.fleet.hosts[number].environment.metrics
    assert metrics.counter('peer_streams_silent') >= 3


@then('host {number:d} counts {count:d} hosts as gone')
def step_count_gone(context, number, count):
    known = context.fleet.hosts[number].members.known()
    assert sum(member.state == 'gone' for member in known) == count


@then('host {number:d} names {count:d} hosts')
def step_names(context, number, count):
    named = context.fleet.hosts[number].members.nameable()
    assert len(named) == count, [member.host for member in named]


@then('host {number:d} names {count:d} hosts, the {live:d} live ones first')
def step_names_first(context, number, count, live):
    step_names(context, number, count)
    states = [member.state for member in context.fleet.hosts[number].members.nameable()]
    assert states == ['alive'] * live + ['gone'] * (count - live), states


@then('that observer counts host 4 as suspect and host 5 as gone')
def step_judged(context):
    observer = context.fleet.hosts[1]
    assert (observer.state_of('host-4'), observer.state_of('host-5')) == ('suspect', 'gone')


@then('host {number:d} is {verdict} gone')
def step_proved(context, number, verdict):
    holder = context.fleet.hosts[number].environment.holder
    assert context.fleet.hosts[0].members.proved_gone(holder) == (verdict == 'proved')


@then('the old incarnations of hosts 4 and 5 are {verdict} gone')
def step_old_proved(context, verdict):
    observer = context.fleet.hosts[0].members
    proved = [observer.proved_gone(holder) for holder in context.old_holders]
    assert proved == [verdict == 'proved'] * 2, proved


@then('host 1 proves a host gone that nobody knows, and host 0 does not')
def step_unknown(context):
    verdicts = [host.members.proved_gone('ghost@0') for host in context.fleet.hosts[:2]]
    assert verdicts == [False, True], verdicts
