"""Steps of manifest_lease.feature on single faults, starts, evidence of peers and look-ups."""

import asyncio
import math
import re
import time
from unittest import mock

import platform_helpers
from behave import given, then, when
from fake_source import FakeSource
from lease_fleet import REVOKE_S, every_step
from manifest_lease_steps import play
from placement_parts import REGION_BY_ZONE, make_manifest, make_route
from virtual_time import run_virtual

from balsamrail.catalog import CallerLimits, Manifest
from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.object_view import ObjectView
from balsamrail.clock import Clock
from balsamrail.fleet.consistent_reader import ConsistentReader
from balsamrail.fleet.directory import Directory
from balsamrail.fleet.manifest_lease import ManifestLease
from balsamrail.fleet.manifest_questions import ManifestQuestions
from balsamrail.messages import ManifestAgeAnswer
from balsamrail.settings.bounds import Bounds

NEVER = math.inf
OUTAGE_PHASES_S = (0, 0.25, 0.5, 0.75)


class Refusals:
    """When each running host began to refuse, ended and how long it refused in one go at most."""

    def __init__(self):
        self.began_at = {}
        self.ended_at = {}
        self.longest_s = {}
        self._since = {}

    async def watch(self, fleet, seconds):
        async for elapsed_s in every_step(seconds):
            for host in fleet.live_hosts():
                self._note(host.member.host, host.is_confirmed(), elapsed_s)

    def _note(self, name, is_confirmed, elapsed_s):
        if is_confirmed:
            if self._since.pop(name, None) is not None:
                self.ended_at[name] = elapsed_s
            return
        self.began_at.setdefault(name, elapsed_s)
        self.ended_at[name] = NEVER
        since = self._since.setdefault(name, elapsed_s)
        self.longest_s[name] = max(self.longest_s.get(name, 0), elapsed_s - since)


@when('a host is cut off from the store and all hosts for {cut_s:d} s')
def step_cut_off(context, cut_s):
    async def script(fleet):
        context.refusals = Refusals()
        context.cut_s = cut_s
        host = next(host for host in fleet.live_hosts() if not host.is_watching())
        context.name = host.member.host
        watching = asyncio.create_task(context.refusals.watch(fleet, cut_s + 5))
        fleet.cut_off_completely(host)
        await asyncio.sleep(cut_s)
        host.access.is_cut = False
        fleet.cut_off.clear()
        await watching
        context.logged = ''.join(host.log.lines)
        context.counter = host.environment.metrics.counter

    play(context, script)


@then('it refuses keys from {low_s:g} s to {high_s:g} s after that, and no other host does')
def step_refuses_from(context, low_s, high_s):
    assert list(context.refusals.began_at) == [context.name], context.refusals.began_at
    assert low_s <= context.refusals.began_at[context.name] <= high_s, context.refusals.began_at


@then('it accepts keys again within {limit_s:g} s after the cut')
def step_accepts_after_cut(context, limit_s):
    assert context.refusals.ended_at[context.name] <= context.cut_s + limit_s


@then('its log has one expiry and one renewal, which are also counted')
def step_logged(context):
    events = re.findall(r'event=manifest_lease_(\w+) .*age_s=(\S+) version=1', context.logged)
    assert [name for name, _ in events] == ['expired', 'renewed'], events
    # The expiry is noticed at the next step of the renewal.
    assert 0.8 * REVOKE_S <= float(events[0][1]) <= 0.8 * REVOKE_S + 0.75, events
    for name in ('manifest_lease_expired', 'manifest_lease_renewed'):
        assert context.counter(name) == 1


@when('the store goes down for {outage_s:d} s at any moment between two reads')
def step_outage(context, outage_s):
    context.outage_s = outage_s
    context.runs = []

    def make_script(phase_s):
        async def script(fleet):
            await asyncio.sleep(phase_s)
            refusals = Refusals()
            reads = sum(host.reads() for host in fleet.hosts.values())
            watching = asyncio.create_task(refusals.watch(fleet, outage_s + 6))
            fleet.source.is_up = False
            await asyncio.sleep(outage_s)
            reads = sum(host.reads() for host in fleet.hosts.values()) - reads
            fleet.source.is_up = True
            await watching
            assert set(refusals.began_at) == set(fleet.hosts)
            context.runs.append((refusals, reads))

        return script

    for phase_s in OUTAGE_PHASES_S:
        play(context, make_script(phase_s))


@then('all hosts refuse keys from {low_s:g} s to {high_s:g} s after that on')
def step_all_refuse(context, low_s, high_s):
    for refusals, _ in context.runs:
        began = refusals.began_at.values()
        assert low_s <= min(began) and max(began) <= high_s, sorted(began)
        assert min(refusals.ended_at.values()) >= context.outage_s, refusals.ended_at


@then('all hosts accept keys again within {limit_s:g} s after the outage')
def step_all_accept(context, limit_s):
    for refusals, _ in context.runs:
        last = max(refusals.ended_at.values())
        assert last <= context.outage_s + limit_s, last


@then('the hosts have made at most {limit:d} reads during the outage')
def step_few_reads(context, limit):
    assert all(reads <= limit for _, reads in context.runs), [reads for _, reads in context.runs]


@when('the relays of a host restart one after the other and it does not reach the store')
def step_relays_restart(context):
    async def script(fleet):
        context.refusals = Refusals()
        name, relays = fleet.follower_with_relays()
        fleet.hosts[name].access.is_cut = True
        watching = asyncio.create_task(_watch_others(context.refusals, fleet, relays))
        for relay in (*relays, *relays):
            fleet.hosts[relay].kill()
            await asyncio.sleep(0.7)
            fleet.restart(relay)
            await asyncio.sleep(0.7)
        watching.cancel()

    play(context, script)


async def _watch_others(refusals, fleet, restarted):
    async for elapsed_s in every_step(60):
        for name, host in fleet.hosts.items():
            if name not in restarted:
                refusals._note(name, host.is_confirmed(), elapsed_s)


@then('no host that ran all the time refuses keys')
def step_none_refuses(context):
    assert not context.refusals.began_at, context.refusals.began_at


@when('a host loses the store and all hosts but one that it does not follow')
def step_one_path(context):
    async def script(fleet):
        context.refusals = Refusals()
        name, host = next((n, h) for n, h in fleet.hosts.items() if not h.is_watching())
        sources = host.watch.sources()
        host.access.is_cut = True
        followed = next(n for n in sorted(fleet.hosts) if n != name and n not in sources)
        fleet.cut_off_from_peers(name, but=followed)
        await context.refusals.watch(fleet, 12)

    play(context, script)


@then('no host that ran all the time refuses keys for longer than {limit_s:g} s')
def step_short_refusal(context, limit_s):
    assert all(s <= limit_s for s in context.refusals.longest_s.values()), (
        context.refusals.longest_s
    )


@when('the machine of a host is suspended for {for_s:d} s while its question is on the way')
def step_suspended(context, for_s):
    async def script(fleet):
        host = next(host for host in fleet.live_hosts() if not host.is_watching())
        name = host.member.host
        began = len(fleet.sent)
        async for _ in every_step(3):
            if any(sender == name for sender, *_ in fleet.sent[began:]):
                break
        # The question has arrived, and its answer is on the way.
        context.was_confirmed = host.is_confirmed()
        host.suspended_s += for_s
        began = len(fleet.sent)
        context.confirmed = set()
        async for _ in every_step(0.1):
            context.confirmed.add(host.is_confirmed())
        context.is_answered = any(receiver == name for _, receiver, *_ in fleet.sent[began:])
        await asyncio.sleep(1.4)
        context.is_confirmed_later = host.is_confirmed()

    play(context, script)


@then('it refuses keys when it wakes, also after the answer to that question')
def step_refuses_awake(context):
    assert context.was_confirmed and context.is_answered
    assert context.confirmed == {False}, context.confirmed


@then('it accepts keys again within 1.5 s')
def step_accepts_again(context):
    assert context.is_confirmed_later


@when('each host in turn is frozen for {for_s:d} s while a key is withdrawn')
def step_frozen(context, for_s):
    context.accepting = {}

    def make_script(number):
        async def script(fleet):
            host = list(fleet.hosts.values())[number]
            host.freeze()
            await asyncio.sleep(0.5)
            fleet.source.write('main', 2)
            await asyncio.sleep(for_s - 0.5)
            accepted = [host.thaw()]
            async for _ in every_step(3):
                accepted.append(host.accepts())
            context.accepting[host.member.host] = any(accepted)
            assert host.accepts(version=2)

        return script

    for number in range(sum(context.sizes.values())):
        play(context, make_script(number))


@then('none accepts the key when it wakes or later')
def step_none_accepts(context):
    assert not any(context.accepting.values()), context.accepting


@when('all hosts lose power and start again')
def step_power_loss(context):
    async def script(fleet):
        context.waits_s = {}
        for name in list(fleet.hosts):
            fleet.restart(name, discovers_after_s=0.3)
        known_at = {}
        async for elapsed_s in every_step(6):
            for name, host in fleet.hosts.items():
                if host.version():
                    known_at.setdefault(name, elapsed_s)
                if host.is_confirmed() and name not in context.waits_s:
                    context.waits_s[name] = elapsed_s - known_at[name]
            if len(context.waits_s) == len(fleet.hosts):
                break
        assert len(context.waits_s) == len(fleet.hosts)
        context.reads = sum(host.reads() for host in fleet.hosts.values())

    play(context, script)


@when('hosts that follow others restart one after the other')
def step_restarts(context):
    async def script(fleet):
        context.waits_s = {}
        context.reads = 0
        followers = [name for name, host in fleet.hosts.items() if not host.is_watching()]
        for name in followers[:8]:
            host = fleet.restart(name, discovers_after_s=0.05)
            known_at = None
            async for elapsed_s in every_step(3):
                known_at = elapsed_s if known_at is None and host.version() else known_at
                if host.is_confirmed():
                    context.waits_s[name] = elapsed_s - known_at
                    break
            context.reads += host.reads()
        assert len(context.waits_s) == 8, context.waits_s

    play(context, script)


@then('each host accepts keys within {limit_s:g} s of having the manifest')
def step_soon(context, limit_s):
    assert max(context.waits_s.values()) <= limit_s, context.waits_s


@then('at most {limit:d} reads have been made by then')
def step_start_reads(context, limit):
    assert context.reads <= limit, context.reads


def _manifest(version):
    return Manifest(version=version, routes=(), services={}, limits=CallerLimits())


class _Host:
    """A lease and the questions of a host, with the messages that it sends."""

    def __init__(self):
        self.environment = platform_helpers.make_environment(bounds=Bounds(revoke_s=REVOKE_S))
        self.catalog = Catalog(environment=self.environment)
        self.lease = ManifestLease(environment=self.environment, catalog=self.catalog)
        self.lease.note_era(1)
        self.catalog.offer_manifest(_manifest(5))
        self.sent = []
        self.receivers = {}
        self.questions = ManifestQuestions(
            environment=self.environment, lease=self.lease, network=self
        )

    async def send(self, host, message):
        self.sent.append((host, message))
        return True

    def subscribe(self, kind, receive):
        self.receivers[kind] = receive

    async def ask(self, host):
        """Ask a host; return the number of the question."""
        self.questions.ask(host)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return self.sent[-1][1].number

    def answer(self, host, *, number, age_s, version=5, era=1):
        answer = ManifestAgeAnswer(
            number=number, age_ms=int(age_s * 1_000), manifest_version=version, era=era
        )
        self.receivers[ManifestAgeAnswer](host, answer)


@given('a host with the manifest of version 5 whose evidence is {age_s:g} s old')
def step_host_with_evidence(context, age_s):
    context.age_s = age_s


@when(
    'the store comes back from an older copy and the host reads it after {first_s:g} s and {second_s:g} s'
)
def step_reads_after_return(context, first_s, second_s):
    async def run_once():
        host = _Host()
        clock = host.environment.clock
        host.lease.note_read(sent_at=clock.boottime() - context.age_s, era=1)
        before = host.lease.confirmed_until
        host.lease.note_era(2)
        await asyncio.sleep(first_s)
        host.lease.note_read(sent_at=clock.boottime(), era=2)
        context.gained_s = host.lease.confirmed_until - before
        await asyncio.sleep(second_s - first_s)
        host.lease.note_read(sent_at=clock.boottime(), era=2)
        context.age_later_s = host.lease.age_s()

    run_virtual(run_once())


@then('the first read confirms {gained_s:g} s more than before, and the second one everything')
def step_gained(context, gained_s):
    assert abs(context.gained_s - gained_s) < 1e-6, context.gained_s
    assert context.age_later_s == 0, context.age_later_s


@given('a host that {watches} the store, which has discarded the changes since its listing')
def step_reader(context, watches):
    context.is_watching = watches == 'watches'


@when('it reads the store')
def step_read_gone(context):
    async def run_once():
        host = _Host()
        source = FakeSource()
        source.write('main', 5)
        view = ObjectView(kind='config')
        view.apply_listing(await source.list_objects('config'))
        source.revision += 1
        source.forget()
        relist = mock.Mock()
        reader = ConsistentReader(
            environment=host.environment,
            lease=host.lease,
            source=source,
            view=view,
            watch=mock.Mock(is_watching=lambda: context.is_watching),
            relist=relist,
        )
        await reader.read()
        context.relists = relist.call_count
        context.is_confirmed = host.lease.is_confirmed()

    run_virtual(run_once())


@then('{lists} lists the manifests, and the read itself is no evidence')
def step_lists(context, lists):
    is_by_feed = lists == 'its feed'
    assert context.relists == is_by_feed
    assert context.is_confirmed == (not is_by_feed)


@when('the store answers the checks of all watchers but not their reads for {seconds:d} s')
def step_reads_refused(context, seconds):
    async def script(fleet):
        context.refusals = Refusals()
        for host in fleet.live_hosts():
            host.access.refuses_reads = host.is_watching()
        await context.refusals.watch(fleet, seconds)

    play(context, script)


@given('a host alone in its fleet, with a store whose answers take {delay_s:g} s from now on')
def step_late_answers(context, delay_s):
    context.sizes = {'region0': 1}
    context.delay_s = delay_s


@when('it has read the store for {seconds:d} s')
def step_read_late(context, seconds):
    async def script(fleet):
        (host,) = fleet.hosts.values()
        host.access.answer_delay_s = context.delay_s
        await asyncio.sleep(2)
        context.youngest_s = NEVER
        async for _ in every_step(seconds):
            context.youngest_s = min(context.youngest_s, host.lease.age_s())
        context.reads = host.reads()

    play(context, script)


@then('its evidence was at no time newer than the call that showed it')
def step_not_newer(context):
    assert context.reads > 3 and context.youngest_s >= context.delay_s, context.youngest_s


@given('a host with the manifest of version 5 and no evidence')
def step_host(context):
    context.make_host = _Host


@when('it gets the answers of peers to questions that it sent 1 s before')
def step_answers(context):
    async def run_once():
        host = context.make_host()
        context.found = []
        for row in context.table:
            number = await host.ask('peer')
            await asyncio.sleep(1)
            host.answer(
                'peer',
                number=number,
                age_s=float(row['age_s']),
                version=int(row['version']),
                era=int(row['era']),
            )
            # The clock goes on from question to question, and a peer's age with it.
            since = host.environment.clock.boottime() - host.lease.confirmed_until
            context.found.append((row['until'], since))
        before = host.lease.confirmed_until
        number = await host.ask('peer')
        host.answer('peer', number=number, age_s=0, version=6)
        assert host.lease.confirmed_until == before
        asked_at = host.environment.clock.boottime()
        await asyncio.sleep(1)
        host.catalog.offer_manifest(_manifest(6))
        context.is_counted_later = host.lease.confirmed_until == asked_at

    run_virtual(run_once())


@then('each answer counts from the time that is stated')
def step_counted(context):
    best = NEVER
    for stated, age_s in context.found:
        best += 1
        if stated != 'none':
            best = min(best, -float(stated))
        assert age_s == best or abs(age_s - best) < 0.01, context.found


@then('the answer of the later version counts when the host has that version')
def step_counted_later(context):
    assert context.is_counted_later


@when('it gets an answer that it did not ask for, one of another host, and one twice')
def step_unasked(context):
    async def run_once():
        host = context.make_host()
        number = await host.ask('peer')
        host.answer('peer', number=number + 1, age_s=0)
        context.after_unasked = host.lease.age_s()
        host.answer('other', number=number, age_s=0)
        context.after_other = host.lease.age_s()
        number = await host.ask('peer')
        host.answer('peer', number=number, age_s=1)
        host.answer('peer', number=number, age_s=0)
        context.after_twice = host.lease.age_s()

    run_virtual(run_once())


@then('only the first answer of the host that it asked counts')
def step_only_asked(context):
    assert context.after_unasked == context.after_other == NEVER
    assert context.after_twice == 1, context.after_twice


class _Members:
    def __init__(self, zones):
        self._zones = zones

    def advertised(self):
        return [
            platform_helpers.make_member(
                zone, availability_zone=zone, region=REGION_BY_ZONE[zone], caller_address=zone
            )
            for zone in self._zones
        ]


@given('a directory of a host in {zone} with hosts in {zones}')
def step_directory(context, zone, zones):
    context.zone = zone
    context.zones = zones.split(', ')


@when("the host's manifest is not confirmed")
def step_unconfirmed(context):
    async def run_once():
        environment = platform_helpers.make_environment(
            host=context.zone,
            bounds=Bounds(revoke_s=REVOKE_S),
            region_by_availability_zone=REGION_BY_ZONE,
        )
        catalog = Catalog(environment=environment)
        lease = ManifestLease(environment=environment, catalog=catalog)
        catalog.offer_manifest(make_manifest(make_route()))
        directory = Directory(
            environment=environment,
            catalog=catalog,
            members=_Members(context.zones),
            manifest_lease=lease,
        )
        look_up = {'name': '', 'region': 'attiki', 'zone': context.zone}
        context.named = directory.addresses(**look_up)
        lease.note_read(sent_at=environment.clock.boottime(), era=1)
        assert directory.addresses(**look_up) == [context.zone]

    run_virtual(run_once())


@then('a caller of its zone gets {named}')
def step_named(context, named):
    assert context.named == [named], context.named


@when("the boot time is read on the system's loop and on a virtual one")
def step_boottime(context):
    async def on_system():
        # A machine that has been suspended for a day.
        read = {time.CLOCK_BOOTTIME: 90_000, time.CLOCK_MONOTONIC: 3_600}
        with mock.patch('time.clock_gettime', read.get):
            return Clock().boottime()

    async def on_virtual():
        clock = Clock()
        await asyncio.sleep(1_000)
        return clock.boottime(), clock.monotonic()

    context.on_system = asyncio.run(on_system())
    context.on_virtual = run_virtual(on_virtual())


@then("it is the system's boot time and the time of the virtual loop")
def step_boottime_read(context):
    assert context.on_system == 90_000, context.on_system
    read, now = context.on_virtual
    assert read == now >= 1_000, context.on_virtual
