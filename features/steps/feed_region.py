"""A fleet of hosts that watch the store and forward its changes, on virtual time."""

import asyncio
import contextlib
from dataclasses import replace

import platform_helpers
from fake_source import TIMEOUT_S, FakeSource

from balsamrail.catalog.feed import Feed
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.store_monitor import StoreMonitor
from balsamrail.errors import StoreUnavailableError
from balsamrail.fleet.feed_follower import FeedFollower
from balsamrail.fleet.feed_hub import FeedHub
from balsamrail.fleet.store_watch import StoreWatch
from balsamrail.settings.bounds import Bounds

KIND = 'config'
# The member table reports a host as gone this long after its last heartbeat.
FAILURE_DETECTION_S = 2.0
_LATENCY_S = 0.04
_MIN_SPACING_S = 1e-6


class StoreAccess:
    """One host's access to the store, which can refuse the host or leave calls unanswered.

    With ``is_silent`` only open watches stay unanswered, with ``is_cut`` every call.
    """

    def __init__(self, source):
        self.source = source
        self.is_refused = False
        self.is_silent = False
        self.is_cut = False
        self.delay_s = 0
        self.calls = 0
        self.listings = 0

    async def list_objects(self, kind, *, is_stale_allowed=False):
        self.calls += 1
        self._check()
        self.listings += not is_stale_allowed
        await asyncio.sleep(self.delay_s)
        listing = await self.source.list_objects(kind, is_stale_allowed=is_stale_allowed)
        await self._lose_if_cut(TIMEOUT_S)
        return listing

    async def watch(self, kind, *, revision, wait_s):
        self.calls += 1
        self._check()
        waiting = asyncio.ensure_future(self.source.watch(kind, revision=revision, wait_s=wait_s))
        try:
            while not waiting.done():
                await asyncio.wait([waiting], timeout=0.05)
                self._check()
        finally:
            waiting.cancel()
        if self.is_silent:
            await asyncio.sleep(wait_s)
            raise StoreUnavailableError('silent')
        await self._lose_if_cut(wait_s)
        return waiting.result()

    async def _lose_if_cut(self, timeout_s):
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailableError('no answer')

    def _check(self):
        if self.is_refused:
            raise StoreUnavailableError('the store answered 503')


def _version_of(stored):
    return stored.spec if stored.name == 'main' else None


class FleetHost:
    def __init__(self, fleet, member):
        self.fleet = fleet
        self.member = member
        self.access = StoreAccess(fleet.source)
        self.view = ObjectView(kind=KIND, content_version=_version_of)
        self.tasks = []
        self.died_at = None
        self.log = platform_helpers.RecordedLog()

    def start(self, *, is_first=True, discovers_after_s=0):
        name = self.member.host
        complete_at = asyncio.get_running_loop().time() + discovers_after_s
        environment = platform_helpers.make_environment(
            host=name,
            is_first_start=is_first,
            bounds=self.fleet.bounds,
            log=self.log,
        )
        network = HostNetwork(self.fleet, name)
        self.prepare(environment)
        contact = StoreMonitor(environment=environment, source=self.access, kind='evacuations')
        self.follower = FeedFollower(environment=environment, network=network, views=[self.view])
        self.feed = Feed(
            environment=environment,
            source=self.access,
            view=self.view,
            contact=contact,
            on_listed=self.note_listed,
        )
        self.members = FakeMembers(self.fleet, self.member, complete_at=complete_at)
        self.watch = StoreWatch(
            environment=environment,
            members=self.members,
            contact=contact,
            feeds=[self.feed],
            follower=self.follower,
        )
        self.hub = FeedHub(
            environment=environment, network=network, views=[self.view], watch=self.watch
        )
        self.tasks = [
            asyncio.create_task(self.watch.run()),
            asyncio.create_task(self.hub.run()),
            *self.start_more(environment, network),
        ]

    def prepare(self, environment):
        """Prepare a host of a derived kind, before its parts are made."""

    def note_listed(self, sent_at, revision):
        """Note that the host has listed the objects."""

    def start_more(self, environment, network):
        """Start the further parts of a host of a derived kind; return their tasks."""
        return ()

    def kill(self):
        self.died_at = asyncio.get_running_loop().time()
        for task in self.tasks:
            task.cancel()

    def version(self):
        stored = self.view.objects_by_name.get('main')
        return stored.spec if stored else 0

    def has_object(self, name):
        return name in self.view.objects_by_name

    def is_serving(self):
        return bool(self.version())

    def is_watching(self):
        return self.watch.dump()['is_watching']


class FakeMembers:
    """Member table without the hosts whose failure has been detected.

    Until ``complete_at`` it contains only the host itself.
    """

    def __init__(self, fleet, own, *, complete_at):
        self.fleet = fleet
        self._own = own
        self._complete_at = complete_at

    def local_member(self):
        return self._own

    def alive(self):
        now = asyncio.get_running_loop().time()
        if now < self._complete_at:
            return [self._own]
        return [
            host.member if host.is_serving() else replace(host.member, state='starting')
            for host in self.fleet.hosts.values()
            if host.died_at is None or now - host.died_at < FAILURE_DETECTION_S
        ]


class HostNetwork:
    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    async def send(self, host, message):
        if getattr(message, 'is_listing', False):
            self.fleet.listings_sent += 1
        loop = asyncio.get_running_loop()
        # A stream delivers its messages in order; timers due at the same time do not keep an order.
        earliest = self.fleet.arrival_by_pair.get((self.host, host), 0) + _MIN_SPACING_S
        arrival = max(loop.time() + self.fleet.latency_s(), earliest)
        self.fleet.arrival_by_pair[self.host, host] = arrival
        loop.call_at(arrival, self.fleet.deliver, self.host, host, message)
        return True

    def subscribe(self, kind, receive):
        self.fleet.receivers.setdefault(self.host, {})[kind] = receive


class FeedFleet:
    """Simulated hosts by name; ``sizes`` maps each region to its number of hosts."""

    host_kind = FleetHost

    def __init__(self, sizes, **bounds):
        self.bounds = Bounds(**bounds)
        self.sizes = sizes
        self.source = FakeSource()
        self.receivers = {}
        self.cut_off = set()
        self.cut_links = set()
        self.listings_sent = 0
        self.arrival_by_pair = {}
        self.hosts = {}
        for region, size in sizes.items():
            for number in range(size):
                name = f'{region}-{number}'
                member = platform_helpers.make_member(
                    name, region=region, availability_zone=f'{region}-{"abc"[number % 3]}'
                )
                self.hosts[name] = self.host_kind(self, member)

    def latency_s(self):
        return _LATENCY_S

    def deliver(self, sender, receiver, message):
        if self.cut_off & {sender, receiver} or frozenset((sender, receiver)) in self.cut_links:
            return
        if self.hosts[receiver].died_at is None and self.hosts[sender].died_at is None:
            receive = self.receivers[receiver].get(type(message))
            if receive is not None:
                receive(sender, message)

    async def start(self):
        self.source.write('main', 1)
        for host in self.hosts.values():
            host.start()
        await asyncio.sleep(6)
        assert {host.version() for host in self.hosts.values()} == {1}

    def restart(self, name, *, discovers_after_s=0):
        """Replace a host by one that knows nothing, and the other hosts only after a time."""
        old = self.hosts[name]
        old.kill()
        host = self.host_kind(self, old.member)
        host.access = old.access
        self.hosts[name] = host
        host.start(is_first=False, discovers_after_s=discovers_after_s)
        return host

    def cut_off_from_peers(self, name, *, but):
        """Cut the links of a host to all others but one."""
        self.cut_links.update(frozenset((name, other)) for other in self.hosts if other != but)

    def confine_watchers(self, region):
        """Cut the watchers of a region off from the store and from other regions; return them."""
        watchers = self.watchers(region)
        for host in watchers:
            host.access.is_cut = True
            self.cut_links.update(
                frozenset((host.member.host, name))
                for name, other in self.hosts.items()
                if other.member.region != region
            )
        return watchers

    def hosts_with(self, name):
        """Return the hosts that have an object."""
        return [host.member.host for host in self.live_hosts() if host.has_object(name)]

    def follower_with_relays(self):
        """Return a host that follows relays, and these."""
        for name, host in self.hosts.items():
            sources = list(host.watch.dump()['follows'])
            if not host.is_watching() and not any(self.hosts[s].is_watching() for s in sources):
                return name, sources
        raise AssertionError('no host follows relays')

    def live_hosts(self):
        return [host for host in self.hosts.values() if host.died_at is None]

    def watchers(self, region):
        return [
            host
            for host in self.live_hosts()
            if host.member.region == region and host.is_watching()
        ]

    async def propagation_s(self, version, *, limit_s):
        """Write a version; return the seconds until each host had it, ``None`` above the limit."""
        self.source.write('main', version)
        started = asyncio.get_running_loop().time()
        received_after_s = {}
        while asyncio.get_running_loop().time() - started < limit_s:
            for host in self.live_hosts():
                if host.version() == version and host.member.host not in received_after_s:
                    received_after_s[host.member.host] = (
                        asyncio.get_running_loop().time() - started
                    )
            if len(received_after_s) == len(self.live_hosts()):
                break
            await asyncio.sleep(0.05)
        return {
            host.member.host: received_after_s.get(host.member.host) for host in self.live_hosts()
        }

    async def stop(self):
        tasks = [task for host in self.hosts.values() for task in host.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def started_fleet(sizes, *, objects=(), config_apply_s=2):
    """Run a fleet whose hosts have the manifest and these objects."""
    fleet = FeedFleet(sizes, config_apply_s=config_apply_s)
    for name in objects:
        fleet.source.write(name, 1)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


def assert_in_time(received_after_s, limit_s):
    """Fail if a host received a change late or not at all."""
    late = {host: s for host, s in received_after_s.items() if s is None or s > limit_s}
    assert not late, late
