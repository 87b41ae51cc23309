"""Steps for membership.feature on an in-memory fleet."""

import asyncio
import re

from behave import given, then, when

from balsamrail.membership.updates import make_hello, make_update, update_from_hello
from features.steps.memory_fleet import make_fleet, run, wait_until


def logged_changes(context, state):
    """Return the reporting host and the member of each logged change to ``state``."""
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
def step_fleet_without_tables(context, size):
    make_fleet(context, size=size, populate_table=False)


@when('{seconds:d} s pass')
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('host {number:d} dies')
def step_dies(context, number):
    run(context, kill(context.fleet.hosts[number]))


@when('host {number:d} restarts and is not ready')
def step_start_unready(context, number):
    async def restart():
        context.fleet.restart(number, options={'members': {'is_ready': False}})

    run(context, restart())


def others(context, number):
    return [host for index, host in enumerate(context.fleet.hosts) if index != number]


def lookup_includes(host, peer):
    return peer.name in {member.host for member in host.members.advertised()}


@then('host {number:d} is starting everywhere and in no lookup')
def step_starting(context, number):
    started = context.fleet.hosts[number]
    states = {host.state_of(started.name) for host in others(context, number)}
    assert states == {'starting'}, states
    assert not [host.name for host in context.fleet.hosts if lookup_includes(host, started)]
    for host in others(context, number):
        assert started.name in {member.host for member in host.members.alive()}


@when('host {number:d} is ready')
def step_ready(context, number):
    async def serve():
        context.fleet.hosts[number].members.announce_ready()

    run(context, serve())


@then('lookups on all hosts return host {number:d} within {limit:d} s')
def step_in_all_lookups(context, number, limit):
    started = context.fleet.hosts[number]
    run(
        context,
        wait_until(
            lambda: all(lookup_includes(host, started) for host in context.fleet.hosts), limit
        ),
    )


@when('host 8 restarts, knows the table and receives only the Hello of host 7')
def step_hello_only(context):
    async def receive_hello():
        hello = make_hello(context.fleet.hosts[7].members.local_member())
        restarted_host = context.fleet.restart(8)
        restarted_host.members.apply(update_from_hello(hello))
        context.restarted_host = restarted_host

    run(context, receive_hello())


@then('lookups on host 8 return host 7')
def step_restarted_host_lookups(context):
    assert lookup_includes(context.restarted_host, context.fleet.hosts[7])


@when('host {number:d} loses power')
def step_power_loss(context, number):
    host = context.fleet.hosts[number]
    host.pause()
    context.fleet.network.group_by_address[host.address] = 'off'


@when('hosts {first:d} to {last:d} are partitioned')
def step_partition(context, first, last):
    for host in context.fleet.hosts[first : last + 1]:
        context.fleet.network.group_by_address[host.address] = 'cut'


@when('hosts {first:d} to {last:d} are partitioned together for {seconds:d} s')
def step_partition_for(context, first, last, seconds):
    step_partition(context, first, last)
    run(context, asyncio.sleep(seconds))
    assert logged_changes(context, 'gone'), 'the partition was not detected'
    context.fleet.network.group_by_address.clear()


@when('host 7 suspects host 8, as does another observer, and is paused for {seconds:d} s')
def step_pause(context, seconds):
    async def pause():
        paused_host, suspected_host, other_observer = (
            context.fleet.hosts[number] for number in (7, 8, 9)
        )
        paused_host.members.suspect(suspected_host.name)
        known = paused_host.members.get(suspected_host.name)
        paused_host.members.apply(make_update(known, observer=other_observer.name))
        paused_host.pause()
        await asyncio.sleep(seconds)
        context.state_during_pause = other_observer.state_of(paused_host.name)
        paused_host.resume()

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


@when('host {number:d} is removed from the host list')
def step_drop_listed(context, number):
    context.fleet.store.listed_by_host.pop(context.fleet.hosts[number].name)


@when('only host 1 suspects, for 20 s, listed host 4 and unlisted host 5')
def step_one_observer(context):
    async def suspect_alone():
        # The fleet is stopped, so that hosts 4 and 5 cannot refute and have no other observer.
        observer = context.fleet.hosts[1].members
        context.fleet.stop()
        context.fleet.store.listed_by_host.pop('host-5')
        observer.host_list.update(await context.fleet.store.list_hosts())
        for _ in range(20):
            observer.suspect('host-4')
            observer.suspect('host-5')
            observer.tick()
            await asyncio.sleep(1)

    run(context, suspect_alone())


@when('host 4 stops and host 5 is restarted')
def step_finish_restart(context):
    hosts = context.fleet.hosts
    context.old_holders = [hosts[number].environment.holder for number in (4, 5)]
    run(context, finish_and_restart(context.fleet))


async def finish_and_restart(fleet):
    fleet.hosts[4].members.announce_leaving()
    fleet.hosts[4].members.announce_stopped()
    await asyncio.sleep(1)
    fleet.hosts[4].kill()
    fleet.restart(5)


@then('no host was ever {state}')
def step_never(context, state):
    forbidden_state = 'suspect' if state == 'suspected' else state
    assert not logged_changes(context, forbidden_state), logged_changes(context, forbidden_state)[
        :5
    ]


@then('host {number:d} is gone everywhere within {limit:d} s')
def step_gone(context, number, limit):
    name = context.fleet.hosts[number].name
    others = [host for host in context.fleet.hosts if host.name != name]
    run(context, wait_until(lambda: all(h.state_of(name) == 'gone' for h in others), limit))
    assert {member for _, member in logged_changes(context, 'gone')} == {name}


@then('host {number:d} was gone during the pause')
def step_was_gone(context, number):
    assert context.state_during_pause == 'gone', context.state_during_pause


@then('every host is alive everywhere within {limit:d} s')
def step_all_alive(context, limit):
    names = {host.name for host in context.fleet.hosts}

    def all_alive():
        return all(
            {member.host for member in host.members.known() if member.state == 'alive'}
            == names - {host.name}
            for host in context.fleet.hosts
        )

    run(context, wait_until(all_alive, limit))


@then('only host {number:d} was ever gone')
def step_only_gone(context, number):
    gone = {member for _, member in logged_changes(context, 'gone')}
    assert gone == {context.fleet.hosts[number].name}, gone


@then('host {number:d} has replaced its silent streams')
def step_replaced(context, number):
    metrics = context.fleet.hosts[number].environment.metrics
    assert metrics.counter('peer_streams_silent') >= 3


@then('host {number:d} considers {count:d} hosts gone')
def step_count_gone(context, number, count):
    known = context.fleet.hosts[number].members.known()
    assert sum(member.state == 'gone' for member in known) == count


@then('lookups on host {number:d} return {count:d} hosts')
def step_lookup_count(context, number, count):
    lookup_members = context.fleet.hosts[number].members.advertised()
    assert len(lookup_members) == count, [member.host for member in lookup_members]


@then('lookups on host {number:d} return {count:d} hosts, the {live:d} live ones first')
def step_lookup_order(context, number, count, live):
    step_lookup_count(context, number, count)
    states = [member.state for member in context.fleet.hosts[number].members.advertised()]
    assert states == ['alive'] * live + ['gone'] * (count - live), states


@then('that observer considers host 4 suspect and host 5 gone')
def step_observer_states(context):
    observer = context.fleet.hosts[1]
    assert (observer.state_of('host-4'), observer.state_of('host-5')) == ('suspect', 'gone')


@then('host {number:d} is {verdict} gone')
def step_proved(context, number, verdict):
    holder = context.fleet.hosts[number].environment.holder
    assert context.fleet.hosts[0].members.is_proven_gone(holder) == (verdict == 'proven')


@then('the old incarnations of hosts 4 and 5 are {verdict} gone')
def step_old_proved(context, verdict):
    observer = context.fleet.hosts[0].members
    proved = [observer.is_proven_gone(holder) for holder in context.old_holders]
    assert proved == [verdict == 'proven'] * 2, proved


@then('an unknown host is proven gone on host 1, but not on host 0')
def step_unknown(context):
    verdicts = [host.members.is_proven_gone('ghost@0') for host in context.fleet.hosts[:2]]
    assert verdicts == [False, True], verdicts


def _count_updates(context, act, seconds, *, state='alive'):
    """Return how many member updates of a state were sent after ``act``."""

    async def main():
        sent = context.fleet.network.updates_by_state
        before = sent[state]
        act()
        await asyncio.sleep(seconds)
        return sent[state] - before

    return run(context, main())


@when('hosts {numbers} restart with a seed')
def step_restart_with_seed(context, numbers):
    async def restart():
        seeds = [context.fleet.hosts[0].address]
        context.restarted = [
            context.fleet.restart(int(number), options={'seeds': seeds})
            for number in re.findall(r'\d+', numbers)
        ]

    run(context, restart())


@then('each of them knows {count:d} hosts {seconds:g} s later')
def step_knows(context, count, seconds):
    run(context, asyncio.sleep(seconds))
    known = [len(host.members.alive()) for host in context.restarted]
    assert known == [count] * len(known), known


def _announce_again(host):
    host.members._announce_local_state('alive', host.members.local_member().refutation + 1)


@when(
    'host {one:d} announces itself again and then host {other:d} is suspected by host {observer:d}'
)
def step_announce(context, one, other, observer):
    hosts = context.fleet.hosts
    context.announced = hosts[one]
    context.announcement_count = _count_updates(context, lambda: _announce_again(hosts[one]), 0.5)
    context.suspicion_count = _count_updates(
        context,
        lambda: hosts[observer].members.suspect(hosts[other].name),
        0.5,
        state='suspect',
    )


@when('host {one:d} announces itself again while all member updates are lost for {lost_s:g} s')
def step_announce_lost(context, one, lost_s):
    context.announced = context.fleet.hosts[one]
    context.fleet.network.lost_kinds |= {'MemberUpdate', 'MemberUpdates'}
    _count_updates(context, lambda: _announce_again(context.announced), lost_s)
    context.fleet.network.lost_kinds.clear()


@then('every host has the announcement')
def step_announced(context):
    refutation = context.announced.members.local_member().refutation
    missing = [
        host.name
        for host in context.fleet.hosts
        if host.members.get(context.announced.name).refutation < refutation
    ]
    assert refutation and not missing, missing


@then('every host has the announcement, after at most {count:d} messages of each')
def step_announced_once(context, count):
    step_announced(context)
    assert context.announcement_count <= count * len(context.fleet.hosts), (
        context.announcement_count
    )


@then('the suspicion took more than {count:d} messages of each')
def step_suspected(context, count):
    assert context.suspicion_count > count * len(context.fleet.hosts), context.suspicion_count
