"""Steps for crash_reports.feature on an in-memory fleet."""

import asyncio

from behave import given, then, when

from balsamrail.errors import TargetCrashingRequestError
from balsamrail.messages import CrashReport
from balsamrail.platform.crash_store import CrashStore
from balsamrail.platform.object_store import ObjectStore
from balsamrail.settings import StoreSettings
from features.steps.memory_fleet import START_WALL_S, make_fleet, run
from features.steps.platform_helpers import RecordedLog, make_environment, run_real
from standins.platform_store import PlatformStore

CRASH_LIMIT = 3
REQUEST = b'deadly'
HOST_COUNT = 9
KIND = 'balsamrail-crashes'


def refuses(host, fingerprint):
    try:
        host.crashes.check(fingerprint, limit=CRASH_LIMIT)
    except TargetCrashingRequestError:
        return True
    return False


def crash_targets(hosts, fingerprint):
    """Report a crash by each of the first hosts."""
    for number, host in enumerate(hosts[:CRASH_LIMIT]):
        host.crashes.report(fingerprint, service='lepu', target=f'i-{number}')


@given('a fleet of 9 hosts that have seen a request crash 3 targets')
def step_crashed(context):
    make_fleet(context, size=HOST_COUNT)

    async def crash():
        await asyncio.sleep(5)
        crash_targets(context.fleet.hosts, REQUEST)
        await asyncio.sleep(1)

    run(context, crash())
    step_refused(context)


@given(
    'a fleet of 9 hosts that have seen a request crash 3 targets, and copies for the version before'
)
def step_copies(context):
    step_crashed(context)

    async def copy():
        for number, host in enumerate(context.fleet.hosts[:CRASH_LIMIT]):
            host.crashes.report_to_earlier_versions(b'copied', target=f'i-{number}')
        await asyncio.sleep(1)

    run(context, copy())


@when('host 4 restarts, and 3 s pass')
def step_restart_told(context):
    fleet = context.fleet
    context.told = []

    async def play():
        host = fleet.restart(4, options={'seeds': [each.address for each in fleet.hosts[:3]]})
        host.network.subscribe(CrashReport, lambda _, report: context.told.append(report))
        await asyncio.sleep(3)

    run(context, play())


@then('it has been told the copies on 3 targets')
def step_told(context):
    copied = {report.target for report in context.told if report.fingerprint == b'copied'}
    assert copied == {'i-0', 'i-1', 'i-2'}, copied


@given('a fleet of 9 hosts that know {count:d} requests that crashed 3 targets each')
def step_many(context, count):
    make_fleet(context, size=HOST_COUNT)
    context.fingerprints = [number.to_bytes(16) for number in range(count)]
    run(context, asyncio.sleep(5))
    for host in context.fleet.hosts:
        for fingerprint in context.fingerprints:
            for number in range(CRASH_LIMIT):
                report = CrashReport(
                    fingerprint=fingerprint,
                    service='lepu',
                    target=f'i-{number}',
                    wall_s=START_WALL_S,
                )
                host.crashes._record(report)


async def restart_in_turn(fleet, *, seconds_between=3):
    seeds = [fleet.hosts[number].address for number in (0, 1, 2)]
    for index in range(len(fleet.hosts)):
        fleet.restart(index, options={'seeds': seeds})
        await asyncio.sleep(seconds_between)


@when('every host restarts in turn')
def step_restart(context):
    run(context, restart_in_turn(context.fleet))


@when('every host restarts in turn, twice')
def step_restart_twice(context):
    step_restart(context)
    step_restart(context)


@when('{seconds:d} s pass and every host restarts in turn')
def step_restart_later(context, seconds):
    run(context, asyncio.sleep(seconds))
    step_restart(context)


async def restart_parts(fleet, *parts):
    seeds = [host.address for host in fleet.hosts]
    for part in parts:
        for index in part:
            fleet.restart(index, options={'seeds': seeds})
        await asyncio.sleep(3)


@when('hosts 0 to 3 restart at once and then the others')
def step_restart_halves(context):
    run(context, restart_parts(context.fleet, range(4), range(4, HOST_COUNT)))


@when('all hosts restart at once')
def step_restart_all(context):
    run(context, restart_parts(context.fleet, range(HOST_COUNT)))


@when('host 4 is cut off, a request crashes 3 targets, and the cut ends after {seconds:d} s')
def step_cut(context, seconds):
    async def cut():
        await asyncio.sleep(5)
        groups = context.fleet.network.group_by_address
        groups[context.fleet.hosts[4].address] = 'cut'
        crash_targets(context.fleet.hosts, REQUEST)
        await asyncio.sleep(seconds)
        assert not refuses(context.fleet.hosts[4], REQUEST)
        groups.clear()

    run(context, cut())


@when('a target completes the request at host 4, which is then cut off for {seconds:d} s')
def step_served(context, seconds):
    async def cut():
        context.fleet.hosts[4].crashes.clear(REQUEST)
        groups = context.fleet.network.group_by_address
        groups[context.fleet.hosts[4].address] = 'cut'
        await asyncio.sleep(seconds)
        groups.clear()

    run(context, cut())


@then('host 4 accepts the request')
def step_accepts(context):
    assert not refuses(context.fleet.hosts[4], REQUEST)


@when('{hosts}, and at each of them, every 0.1 s for 4 s, another request crashes 3 targets')
def step_crash_in_start(context, hosts):
    fleet = context.fleet
    seeds = [host.address for host in fleet.hosts]
    restarted = range(len(fleet.hosts)) if hosts == 'all hosts restart at once' else [4]
    context.fingerprints = []

    async def play():
        await asyncio.sleep(5)
        for index in restarted:
            fleet.restart(index, options={'seeds': seeds})
        for tick in range(40):
            for index in restarted:
                fingerprint = (tick * 100 + index).to_bytes(16)
                context.fingerprints.append(fingerprint)
                for number in range(CRASH_LIMIT):
                    fleet.hosts[index].crashes.report(
                        fingerprint, service='lepu', target=f'i-{number}'
                    )
            await asyncio.sleep(0.1)

    run(context, play())


@then('every host refuses each of these requests')
def step_refused_each(context):
    missed = [
        (index, int.from_bytes(fingerprint) // 100)
        for index, host in enumerate(context.fleet.hosts)
        for fingerprint in context.fingerprints
        if not refuses(host, fingerprint)
    ]
    assert not missed, (len(missed), missed[:20])


@when('host 4 restarts')
def step_restart_one(context):
    async def restart():
        context.fleet.network.sent.clear()
        seeds = [host.address for host in context.fleet.hosts[:3]]
        context.fleet.restart(4, options={'seeds': seeds})

    run(context, restart())


@then('every host refuses the request')
def step_refused(context):
    accepting = [host.name for host in context.fleet.hosts if not refuses(host, REQUEST)]
    assert not accepting, accepting


@then('no host refuses the request')
def step_accepted(context):
    refusing = [host.name for host in context.fleet.hosts if refuses(host, REQUEST)]
    assert not refusing, refusing


@then('host 4 refuses the {count:d} requests that were reported last')
def step_refuses_last(context, count):
    host = context.fleet.hosts[4]
    refused = [each for each in context.fingerprints if refuses(host, each)]
    assert refused == context.fingerprints[-count:], (len(refused), refused[:1])


@then(
    'at most {peers:d} times {count:d} reports were sent to host 4, and by host 4 to each neighbour'
)
def step_sent(context, peers, count):
    sent = context.fleet.network.sent['CrashReport']
    print(f'{sent} crash reports sent')
    assert sent <= 2 * peers * count, sent


@given('a fleet of 9 hosts whose store is {state} while a request crashes 3 targets')
def step_store_state(context, state):
    make_fleet(context, size=HOST_COUNT)

    async def crash():
        await asyncio.sleep(5)
        context.fleet.store.list_down = state == 'down'
        crash_targets(context.fleet.hosts, REQUEST)
        await asyncio.sleep(3)

    run(context, crash())


@when('the store is available again, 3 s pass, and all hosts restart at once')
def step_store_available(context):
    context.fleet.store.list_down = False
    run(context, asyncio.sleep(3))
    step_restart_all(context)


@then('at most {count:d} hosts have written to the store')
def step_writers(context, count):
    assert 1 <= context.fleet.store.crash_writes <= count, context.fleet.store.crash_writes


@when('all hosts restart at once while the store is down for {seconds:d} s')
def step_restart_without_store(context, seconds):
    async def restart():
        context.fleet.store.list_down = True
        await restart_parts(context.fleet, range(HOST_COUNT))
        await asyncio.sleep(seconds)
        context.fleet.store.list_down = False

    run(context, restart())


@then('the store keeps no reports')
def step_store_empty(context):
    assert not context.fleet.store.crashes, context.fleet.store.crashes


@when("reports on two requests are written to the platform's store, beside malformed entries")
def step_platform_entries(context):
    context.written = [
        [
            CrashReport(fingerprint=fingerprint, service='lepu', target=f'i-{n}@1', wall_s=1.5 + n)
            for n in range(CRASH_LIMIT)
        ]
        for fingerprint in (b'f' * 16, b'g' * 16)
    ]

    async def play():
        standin = PlatformStore()
        await standin.start()
        log = RecordedLog()
        environment = make_environment(
            log=log, store=StoreSettings(address=standin.address, timeout_s=1)
        )
        objects = ObjectStore(environment=environment)
        store = CrashStore(environment=environment, store=objects)
        for reports in context.written:
            await store.save_crashes(reports)
        standin.put(KIND, 'no digits', {'crashes': []})
        standin.put(KIND, 'aa', {'crashes': [{'service': 'lepu'}]})
        context.read = await store.list_crashes()
        context.rejected = [line for line in log.lines if 'event=crash_entry_rejected' in line]
        changed, removed = (reports[0].fingerprint for reports in context.written)
        await CrashStore(environment=environment, store=objects).save_crashes(
            context.written[0][:2]
        )
        await store.delete_crashes(changed)
        await store.delete_crashes(removed)
        context.left = {name for name in standin.objects[KIND] if len(name) == 2 * 16}
        objects.close()
        await standin.stop()

    run_real(play())


@then('both are read back, and the malformed ones are logged')
def step_read_back(context):
    assert context.read == [report for reports in context.written for report in reports]
    assert len(context.rejected) == 2, context.rejected


@then('a request whose entry was listed can be removed, and one that has changed since stays')
def step_removed(context):
    assert context.left == {context.written[0][0].fingerprint.hex()}, context.left
