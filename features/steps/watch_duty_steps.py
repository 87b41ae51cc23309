"""Steps of watch_duty.feature."""

import asyncio
import random
from collections import Counter

import platform_helpers
from behave import given, then, when
from fake_source import FakeSource
from hypothesis import given as for_all
from hypothesis import strategies as st
from virtual_time import run_virtual

from balsamrail.catalog.feed import Feed
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.store_contact import StoreContact
from balsamrail.fleet.feed_follower import FeedFollower
from balsamrail.fleet.feed_hub import FeedHub
from balsamrail.fleet.watch_duty import WatcherState, assign_duty

SMALL_REGION = 3
ZONES_BY_HOST = st.lists(st.sampled_from(['a', 'b', 'c']), min_size=1, max_size=14)


def make_members(zones):
    return [
        platform_helpers.make_member(f'attiki-{number}', availability_zone=f'attiki-{zone}')
        for number, zone in enumerate(zones)
    ]


def duties(members, failing=()):
    def state_of(host):
        return WatcherState.failing if host in failing else WatcherState.sound

    return {member.host: assign_duty(members, own=member, state_of=state_of) for member in members}


@when('fleets of any size and zones know each other')
def step_fleets(context):
    context.other = platform_helpers.make_member('makedonia-1', region='makedonia')


@then('each region above three hosts has two watchers, from two zones if it has them')
def step_two(context):
    @for_all(ZONES_BY_HOST)
    def check(zones):
        members = make_members(zones)
        found = duties([*members, context.other])
        watchers = [m for m in members if found[m.host].is_own]
        if len(members) > SMALL_REGION:
            assert len(watchers) == 2, watchers
            watched_zones = {m.availability_zone for m in watchers}
            assert len(watched_zones) == min(2, len(set(zones))), (zones, watchers)

    check()


@then('each other host follows exactly these')
def step_follow(context):
    @for_all(ZONES_BY_HOST)
    def check(zones):
        found = duties([*make_members(zones), context.other])
        watchers = {host for host, duty in found.items() if duty.is_own}
        for host, duty in found.items():
            if not duty.is_own:
                assert set(duty.followed) == watchers - {'makedonia-1'}, (host, duty)

    check()


@then('in smaller regions all hosts watch')
def step_small(context):
    @for_all(st.lists(st.sampled_from(['a', 'b']), min_size=1, max_size=SMALL_REGION))
    def check(zones):
        assert all(duty.is_own for duty in duties(make_members(zones)).values())

    check()


@when('any of the watchers of a region fail to hear from the store')
def step_fail(context):
    pass


@then('two hosts that do not fail watch, as long as there are two')
def step_replaced(context):
    @for_all(ZONES_BY_HOST, st.data())
    def check(zones, data):
        members = make_members(zones)
        failing = data.draw(st.sets(st.sampled_from([m.host for m in members])))
        found = duties(members, failing)
        sound = {host for host, duty in found.items() if duty.is_own} - failing
        assert len(sound) >= min(2, len(members) - len(failing)), (failing, found)

    check()


class LossyNetwork:
    """Connects hosts by name; messages are lost, repeated and late."""

    def __init__(self, chance):
        self.chance = chance
        self.loss = 0.2
        self.receivers_by_host = {}

    def of(self, host):
        return _HostNetwork(self, host)

    async def deliver(self, sender, receiver, message):
        copies = 0 if self.chance.random() < self.loss else 1
        copies += self.chance.random() < self.loss / 4
        await asyncio.sleep(self.chance.random() * 0.02)
        for _ in range(copies):
            for kind, receive in self.receivers_by_host.get(receiver, ()):
                if type(message) is kind:
                    receive(sender, message)


class _HostNetwork:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    async def send(self, host, message):
        await self.network.deliver(self.host, host, message)
        return True

    def subscribe(self, kind, receive):
        self.network.receivers_by_host.setdefault(self.host, []).append((kind, receive))


class _Watch:
    def __init__(self, feed, contact):
        self.hears = feed.is_current
        self.store_up_for_s = contact.up_for_s

    def hops(self):
        return 0


class _Relay:
    def __init__(self, follower):
        self.hears = follower.is_current
        self.hops = follower.hops
        self.store_up_for_s = follower.store_up_for_s


@given('two watchers and a follower on a network that loses and repeats messages')
def step_network(context):
    context.seeds = range(40)


@when("the store's objects change for {seconds:d} s")
def step_change(context, seconds):
    async def change(chance, source, network):
        for _ in range(seconds * 2):
            name = chance.choice('abcd')
            if name in source.objects_by_name and chance.random() < 0.5:
                source.remove(name)
            else:
                source.write(name, source.revision)
            await asyncio.sleep(0.5)

    _play_all(context, change)


@when('the newest object is removed while all messages are lost for 1 s')
def step_remove_newest(context):
    async def change(chance, source, network):
        network.loss = 0
        source.write('a', 1)
        source.write('b', 1)
        await asyncio.sleep(4)
        network.loss = 1
        source.remove('b')
        await asyncio.sleep(1)

    _play_all(context, change)


def _play_all(context, change):
    context.faults = []
    for seed in context.seeds:
        run_virtual(_play(context, random.Random(seed), seed, change))


async def _play(context, chance, seed, change):
    source, network, tasks = FakeSource(), LossyNetwork(chance), []
    for host in ('w-1', 'w-2'):
        environment = platform_helpers.make_environment(host=host)
        view = ObjectView(kind='servers')
        contact = StoreContact(environment=environment, source=source, kind='evacuations')
        feed = Feed(environment=environment, source=source, view=view, contact=contact)
        hub = FeedHub(
            environment=environment,
            network=network.of(host),
            views=[view],
            watch=_Watch(feed, contact),
        )
        tasks += [asyncio.create_task(part.run()) for part in (contact, feed, hub)]
    view = ObjectView(kind='servers')
    follower = FeedFollower(
        environment=platform_helpers.make_environment(host='f-1'),
        network=network.of('f-1'),
        views=[view],
    )
    tasks.append(asyncio.create_task(_follow(follower)))
    await change(chance, source, network)
    network.loss = 0
    await asyncio.sleep(4)
    if view.objects_by_name != source.objects_by_name:
        context.faults.append((seed, sorted(view.objects_by_name), sorted(source.objects_by_name)))
    await _end(tasks)


async def _end(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _follow(follower, hosts=('w-1', 'w-2')):
    while True:
        await follower.follow(hosts)
        await asyncio.sleep(0.25)


@then('the follower knows what the store holds within 4 s of the last change')
def step_same(context):
    assert not context.faults, context.faults


@when('regions of 40, 92 and 200 hosts know each other')
def step_large(context):
    context.duties_by_size = {
        size: duties(make_members(['a', 'b', 'c', 'd'] * (size // 4))) for size in (40, 92, 200)
    }


@then('each host is followed by at most {limit:d} others, and by at most {most:d} in the largest')
def step_followers(context, limit, most):
    for size, found in context.duties_by_size.items():
        followers = Counter(host for duty in found.values() for host in duty.followed)
        allowed = most if size == max(context.duties_by_size) else limit
        assert max(followers.values()) <= allowed, (size, followers.most_common(3))


@then('each follows two hosts that are at most one host away from the store')
def step_away(context):
    for found in context.duties_by_size.values():
        watchers = {host for host, duty in found.items() if duty.is_own}
        relays = {host for host, duty in found.items() if set(duty.followed) == watchers}
        for host, duty in found.items():
            if host not in watchers:
                assert len(duty.followed) == 2
                assert set(duty.followed) <= watchers or set(duty.followed) <= relays


@given('two watchers, two relays that follow them and a follower of the relays')
def step_relays(context):
    context.seeds = range(20)


@when('objects change, and then both watchers lose the store')
def step_relayed(context):
    context.told = [run_virtual(_play_relays(random.Random(seed))) for seed in context.seeds]


async def _play_relays(chance):
    source, network, tasks = FakeSource(), LossyNetwork(chance), []
    network.loss = 0
    for host in ('w-1', 'w-2'):
        environment = platform_helpers.make_environment(host=host)
        view = ObjectView(kind='servers')
        contact = StoreContact(environment=environment, source=source, kind='evacuations')
        feed = Feed(environment=environment, source=source, view=view, contact=contact)
        watch = _Watch(feed, contact)
        hub = FeedHub(environment=environment, network=network.of(host), views=[view], watch=watch)
        tasks += [asyncio.create_task(part.run()) for part in (contact, feed, hub)]
    followers = {}
    # The relays follow each other as well, as when the hosts differ on who is a relay.
    for host, followed in (
        ('r-1', ['w-1', 'r-2']),
        ('r-2', ['w-2', 'r-1']),
        ('f-1', ['r-1', 'r-2']),
    ):
        environment = platform_helpers.make_environment(host=host)
        view = ObjectView(kind='servers')
        follower = FeedFollower(environment=environment, network=network.of(host), views=[view])
        hub = FeedHub(
            environment=environment,
            network=network.of(host),
            views=[view],
            watch=_Relay(follower),
        )
        followers[host] = (follower, view)
        tasks += [
            asyncio.create_task(hub.run()),
            asyncio.create_task(_follow(follower, followed)),
        ]
    await asyncio.sleep(chance.uniform(3, 5))
    source.write('a', 1)
    await asyncio.sleep(1)
    heard = {host: follower.is_current() for host, (follower, _) in followers.items()}
    known = {host: 'a' in view.objects_by_name for host, (_, view) in followers.items()}
    for task in tasks[:6]:
        task.cancel()
    await asyncio.sleep(4)
    lost = {host: follower.is_current() for host, (follower, _) in followers.items()}
    await _end(tasks)
    return heard, known, lost


@then('the follower knew of the changes, and later knows that it hears from nobody')
def step_relay_told(context):
    for heard, known, lost in context.told:
        assert all(heard.values()), heard
        assert all(known.values()), known
        assert not any(lost.values()), lost
