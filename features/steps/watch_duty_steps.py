"""Steps of watch_duty.feature."""

import asyncio
import random
import zlib
from collections import Counter

import platform_helpers
from behave import given, then, when
from fake_source import FakeSource
from hypothesis import given as for_all
from hypothesis import strategies as st
from virtual_time import run_virtual

from balsamrail.catalog.feed import Feed
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.store_monitor import StoreMonitor
from balsamrail.catalog.stored_objects import StoreObject
from balsamrail.errors import PeerError
from balsamrail.fleet.feed_follower import FeedFollower
from balsamrail.fleet.feed_hub import FeedHub
from balsamrail.fleet.object_codec import pack_objects, unpack_objects
from balsamrail.fleet.watch_assignment import WatcherState, assign_watch, backup_sources

SMALL_REGION = 3
REVISIONS = st.builds(Revision, era=st.integers(0, 2**40), number=st.integers(0, 2**60))
ZONES = ['a', 'b', 'c', 'd']
ZONES_BY_HOST = st.lists(st.sampled_from(['a', 'b', 'c']), min_size=1, max_size=14)


def make_members(zones):
    return [
        platform_helpers.make_member(f'attiki-{number}', availability_zone=f'attiki-{zone}')
        for number, zone in enumerate(zones)
    ]


def assignments(members, failing=()):
    def state_of(host):
        return WatcherState.failing if host in failing else WatcherState.sound

    return {
        member.host: assign_watch(members, own=member, state_of=state_of) for member in members
    }


@when('fleets of any size and zones have discovered each other')
def step_fleets(context):
    context.other = platform_helpers.make_member('makedonia-1', region='makedonia')


@then('each region above three hosts has two watchers, from two zones if it has them')
def step_two_watchers(context):
    @for_all(ZONES_BY_HOST)
    def check(zones):
        members = make_members(zones)
        found = assignments([*members, context.other])
        watchers = [m for m in members if found[m.host].is_watcher]
        if len(members) > SMALL_REGION:
            assert len(watchers) == 2, watchers
            watched_zones = {m.availability_zone for m in watchers}
            assert len(watched_zones) == min(2, len(set(zones))), (zones, watchers)

    check()


@then('each other host follows exactly these')
def step_follow(context):
    @for_all(ZONES_BY_HOST)
    def check(zones):
        found = assignments([*make_members(zones), context.other])
        watchers = {host for host, assignment in found.items() if assignment.is_watcher}
        for host, assignment in found.items():
            if not assignment.is_watcher:
                assert set(assignment.sources) == watchers - {'makedonia-1'}, (host, assignment)

    check()


def make_regions(sizes):
    return [
        platform_helpers.make_member(f'{region}-{number}', region=region)
        for region, size in zip('abcde', sizes, strict=False)
        for number in range(size)
    ]


def backups_by_host(members, failing=()):
    def state_of(host):
        return WatcherState.failing if host in failing else WatcherState.sound

    return {
        member.host: backup_sources(members, own=member, state_of=state_of) for member in members
    }


def check_fleets(check):
    for_all(st.lists(st.integers(1, 6), min_size=1, max_size=5))(check)()


@when('fleets of any regions and sizes have discovered each other')
def step_regions_discovered(context):
    context.backups_of = lambda sizes: backups_by_host(make_regions(sizes))


@then('the first two hosts of each region follow one host of another region each, the others none')
def step_backups(context):
    def check(sizes):
        found = context.backups_of(sizes)
        for region, size in zip('abcde', sizes, strict=False):
            following = [host for host in found if host.startswith(region) and found[host]]
            assert len(following) == (min(2, size) if len(sizes) > 1 else 0), found
        assert all(len(sources) <= 1 for sources in found.values()), found
        assert all(s[0] != host[0] for host, sources in found.items() for s in sources), found

    check_fleets(check)


@then(
    'with three regions or more these are of different regions, and each is a first or second host'
)
def step_different_regions(context):
    def check(sizes):
        found = context.backups_of(sizes)
        first_two = {host for host, sources in found.items() if sources}
        for region in 'abcde'[: len(sizes)]:
            sources = [s for host in first_two if host.startswith(region) for s in found[host]]
            assert len(sizes) < 3 or len({s[0] for s in sources}) == len(sources), found
            assert set(sources) <= first_two, found

    check_fleets(check)


@then('if a followed host fails, another one of another region is followed as well')
def step_backup_fails(context):
    def check(sizes):
        members = make_regions(sizes)
        before = backups_by_host(members)
        for host, (failed,) in [(host, found) for host, found in before.items() if found]:
            candidates = {other for other in before if before[other] and other[0] != host[0]}
            after = backups_by_host(members, failing={failed})[host]
            assert after[0] == failed, after
            assert len(after) == min(2, len(candidates)), (after, candidates)
            assert all(s[0] != host[0] for s in after), after

    check_fleets(check)


@then('in smaller regions all hosts watch')
def step_small(context):
    @for_all(st.lists(st.sampled_from(['a', 'b']), min_size=1, max_size=SMALL_REGION))
    def check(zones):
        assert all(
            assignment.is_watcher for assignment in assignments(make_members(zones)).values()
        )

    check()


@when('any of the watchers of a region lose contact to the store')
def step_fail(context):
    pass


@then('two hosts with contact to the store watch, as long as there are two')
def step_replaced(context):
    @for_all(ZONES_BY_HOST, st.data())
    def check(zones, data):
        members = make_members(zones)
        failing = data.draw(st.sets(st.sampled_from([m.host for m in members])))
        found = assignments(members, failing)
        working = {host for host, assignment in found.items() if assignment.is_watcher} - failing
        assert len(working) >= min(2, len(members) - len(failing)), (failing, found)

    check()


class LossyNetwork:
    """Connects hosts by name; loses, duplicates and delays messages."""

    def __init__(self, rng):
        self.rng = rng
        self.loss = 0.2
        self.receivers_by_host = {}

    def of(self, host):
        return _HostNetwork(self, host)

    async def deliver(self, sender, receiver, message):
        copies = 0 if self.rng.random() < self.loss else 1
        copies += self.rng.random() < self.loss / 4
        await asyncio.sleep(self.rng.random() * 0.02)
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


class _WatcherStatus:
    def __init__(self, feed, contact):
        self.receives_changes = feed.is_current
        self.store_up_for_s = contact.up_for_s

    def hops(self):
        return 0


class _RelayStatus:
    def __init__(self, follower):
        self.receives_changes = follower.is_current
        self.hops = follower.hops
        self.store_up_for_s = follower.store_up_for_s


@given('two watchers and a follower on a network that loses and duplicates messages')
def step_network(context):
    context.seeds = range(40)


@when("the store's objects change for {seconds:d} s")
def step_change(context, seconds):
    async def change(rng, source, network):
        for _ in range(seconds * 2):
            name = rng.choice('abcd')
            if name in source.objects_by_name and rng.random() < 0.5:
                source.remove(name)
            else:
                source.write(name, source.revision)
            await asyncio.sleep(0.5)

    _run_all_seeds(context, change)


@when('the newest object is removed while all messages are lost for 1 s')
def step_remove_newest(context):
    async def change(rng, source, network):
        network.loss = 0
        source.write('a', 1)
        source.write('b', 1)
        await asyncio.sleep(4)
        network.loss = 1
        source.remove('b')
        await asyncio.sleep(1)

    _run_all_seeds(context, change)


def _run_all_seeds(context, change):
    context.mismatches = []
    for seed in context.seeds:
        run_virtual(_run_seed(context, random.Random(seed), seed, change))


async def _run_seed(context, rng, seed, change):
    source, network, tasks = FakeSource(), LossyNetwork(rng), []
    for host in ('w-1', 'w-2'):
        environment = platform_helpers.make_environment(host=host)
        view = ObjectView(kind='servers')
        contact = StoreMonitor(environment=environment, source=source, kind='evacuations')
        feed = Feed(environment=environment, source=source, view=view, contact=contact)
        hub = FeedHub(
            environment=environment,
            network=network.of(host),
            views=[view],
            watch=_WatcherStatus(feed, contact),
        )
        tasks += [asyncio.create_task(part.run()) for part in (contact, feed, hub)]
    view = ObjectView(kind='servers')
    follower = FeedFollower(
        environment=platform_helpers.make_environment(host='f-1'),
        network=network.of('f-1'),
        views=[view],
    )
    tasks.append(asyncio.create_task(_follow(follower)))
    await change(rng, source, network)
    network.loss = 0
    await asyncio.sleep(4)
    if view.objects_by_name != source.objects_by_name:
        context.mismatches.append(
            (seed, sorted(view.objects_by_name), sorted(source.objects_by_name))
        )
    await _end(tasks)


async def _end(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _follow(follower, hosts=('w-1', 'w-2')):
    while True:
        await follower.follow(hosts)
        await asyncio.sleep(0.25)


@then('the follower has the objects of the store within 4 s of the last change')
def step_synchronized(context):
    assert not context.mismatches, context.mismatches


@when('regions of 40, 92 and 200 hosts have discovered each other')
def step_large(context):
    context.assignments_by_size = {
        size: assignments(make_members(ZONES * (size // 4))) for size in (40, 92, 200)
    }


@then('each host is followed by at most {limit:d} others, and by at most {most:d} in the largest')
def step_followers(context, limit, most):
    for size, found in context.assignments_by_size.items():
        followers = Counter(host for assignment in found.values() for host in assignment.sources)
        allowed = most if size == max(context.assignments_by_size) else limit
        assert max(followers.values()) <= allowed, (size, followers.most_common(3))


@then('each follows two hosts that are at most one host away from the store')
def step_hops(context):
    for found in context.assignments_by_size.values():
        watchers = {host for host, assignment in found.items() if assignment.is_watcher}
        relays = {
            host for host, assignment in found.items() if set(assignment.sources) == watchers
        }
        for host, assignment in found.items():
            if host not in watchers:
                assert len(assignment.sources) == 2
                assert set(assignment.sources) <= watchers or set(assignment.sources) <= relays


@then('only watchers and at most {count:d} relays of a region follow hosts of other zones')
def step_zones(context, count):
    for size, found in context.assignments_by_size.items():
        zone_by_host = {m.host: m.availability_zone for m in make_members(ZONES * (size // 4))}
        watchers = {host for host, assignment in found.items() if assignment.is_watcher}
        crossing = {
            host
            for host, assignment in found.items()
            if any(zone_by_host[source] != zone_by_host[host] for source in assignment.sources)
        }
        assert len(crossing - watchers) <= count, (size, crossing)


@then('a host whose local relays all fail follows two usable relays of other zones')
def step_zone_failure(context):
    members = make_members(ZONES * 23)
    zone_by_host = {member.host: member.availability_zone for member in members}
    sound = assignments(members)
    for host, assignment in sound.items():
        if any(zone_by_host[source] != zone_by_host[host] for source in assignment.sources):
            continue
        local_relays = {
            source
            for other, theirs in sound.items()
            for source in theirs.sources
            if zone_by_host[source] == zone_by_host[other] == zone_by_host[host]
        }
        remaining = set(assignments(members, local_relays)[host].sources) - local_relays
        assert len(remaining) == 2, (host, remaining)


@when('any host of a region of {size:d} that neither watches nor relays leaves')
def step_leave(context, size):
    members = make_members(ZONES * (size // 4))
    before = assignments(members)
    followed = {source for assignment in before.values() for source in assignment.sources}
    context.changed_counts = []
    for leaving in members:
        if leaving.host in followed:
            continue
        after = assignments([member for member in members if member is not leaving])
        context.changed_counts.append(
            sum(
                set(assignment.sources) != set(before[host].sources)
                for host, assignment in after.items()
            )
        )


@then('at most {count:d} of the others follow different hosts than before')
def step_stable(context, count):
    assert context.changed_counts
    assert max(context.changed_counts) <= count, context.changed_counts


def make_targets(count):
    rng = random.Random(count)
    return [
        StoreObject(
            name=f'i-{rng.getrandbits(32):08x}',
            revision=Revision(era=1, number=1_000 + number),
            spec={
                'service': rng.choice(['diary', 'bookings', 'shopfront']),
                'address': f'10.{rng.randrange(10)}.{rng.randrange(256)}.{rng.randrange(256)}:80',
                'zone': rng.choice(['athina-a', 'thess-b', 'patra-c']),
                'slots': 6,
                'state': 'ready',
                'warmupLeftS': 0.0,
                'born': 1_796_000_000_000 + rng.randrange(20_000),
            },
        )
        for number in range(count)
    ]


@then('the message of a listing of {count:d} targets takes less than a third of their size')
def step_compressed(context, count):
    targets = make_targets(count)
    size = sum(len(item) for target in targets for item in pack_objects([target]))
    assert sum(len(item) for item in pack_objects(targets)) < size / 3


@then('any objects are the same after encoding and decoding')
def step_same(context):
    specs = st.dictionaries(
        st.text(), st.none() | st.integers(0, 2**40) | st.text() | st.floats(0, 1)
    )
    objects = st.builds(StoreObject, name=st.text(), revision=REVISIONS, spec=st.none() | specs)

    @for_all(st.lists(objects, max_size=40))
    def check(stored):
        assert unpack_objects(pack_objects(stored)) == stored

    check()


@then('malformed or truncated encodings are rejected')
def step_malformed(context):
    [packed] = pack_objects(make_targets(20))
    malformed = [packed[:length] for length in range(len(packed))]
    malformed += [b'x', b'\x93\x01\x02\x03', zlib.compress(b'\x91\x01'), zlib.compress(b'')]
    for item in malformed:
        try:
            unpack_objects([item])
        except PeerError:
            continue
        raise AssertionError(item)


@given('two watchers, two relays that follow them and a follower of the relays')
def step_relays(context):
    context.seeds = range(20)


@when('objects change, and then both watchers lose contact to the store')
def step_relayed(context):
    context.outcomes = [run_virtual(_run_relays(random.Random(seed))) for seed in context.seeds]


async def _run_relays(rng):
    source, network, tasks = FakeSource(), LossyNetwork(rng), []
    network.loss = 0
    for host in ('w-1', 'w-2'):
        environment = platform_helpers.make_environment(host=host)
        view = ObjectView(kind='servers')
        contact = StoreMonitor(environment=environment, source=source, kind='evacuations')
        feed = Feed(environment=environment, source=source, view=view, contact=contact)
        watch = _WatcherStatus(feed, contact)
        hub = FeedHub(environment=environment, network=network.of(host), views=[view], watch=watch)
        tasks += [asyncio.create_task(part.run()) for part in (contact, feed, hub)]
    followers = {}
    # The relays also follow each other, as happens when the hosts disagree on the relays.
    for host, sources in (
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
            watch=_RelayStatus(follower),
        )
        followers[host] = (follower, view)
        tasks += [
            asyncio.create_task(hub.run()),
            asyncio.create_task(_follow(follower, sources)),
        ]
    await asyncio.sleep(rng.uniform(3, 5))
    source.write('a', 1)
    await asyncio.sleep(1)
    current = {host: follower.is_current() for host, (follower, _) in followers.items()}
    received = {host: 'a' in view.objects_by_name for host, (_, view) in followers.items()}
    for task in tasks[:6]:
        task.cancel()
    await asyncio.sleep(4)
    current_after_loss = {host: follower.is_current() for host, (follower, _) in followers.items()}
    await _end(tasks)
    return current, received, current_after_loss


@then('the relays and the follower had the change, and later none of them counts as current')
def step_relay_outcomes(context):
    for current, received, current_after_loss in context.outcomes:
        assert all(current.values()), current
        assert all(received.values()), received
        assert not any(current_after_loss.values()), current_after_loss
