"""Steps of entry.feature."""

import asyncio
import json
import tempfile
from pathlib import Path

from behave import given, then, when
from entry_fleet import HOST_NAME, EntryFleet, manifest
from platform_helpers import RecordedLog, make_environment, run_real

from balsamrail.entry.settings_file import SettingsFile

RUN_S = 40
HOSTS_KIND = 'balsamrail-hosts'


@given('{attiki:d} hosts in attiki and {makedonia:d} in makedonia with targets in both')
def step_fleet(context, attiki, makedonia):
    context.fleet = EntryFleet(attiki=attiki, makedonia=makedonia)


def _play(context, play):
    async def run():
        fleet = context.fleet
        await fleet.start()
        try:
            await play(fleet)
        finally:
            await fleet.stop()

    run_real(run(), limit_s=RUN_S)


@when('callers in both regions look up hosts and send requests to each host')
def step_look_up(context):
    async def play(fleet):
        context.returned = {}
        for region in ('attiki', 'makedonia'):
            found = await fleet.look_up('attiki-0', region)
            context.returned[region] = sorted(json.loads(found.body)['addresses'])
        for number, host in enumerate(fleet.hosts):
            await fleet.send(fleet.addresses[host][0], number)
        context.expected = {
            region: sorted(
                addresses[0]
                for host, addresses in fleet.addresses.items()
                if host.startswith(region)
            )
            for region in context.returned
        }

    _play(context, play)


@then('each request gets the response of a target')
@then('every request gets the response of a target')
def step_answered(context):
    assert not context.fleet.failures, context.fleet.failures[:5]
    assert len(context.fleet.answers) >= 6


@then('each lookup returns exactly the hosts of its region')
def step_named(context):
    assert context.returned == context.expected, context.returned


@when('all hosts have discovered each other and 8 s pass')
def step_wait(context):
    async def play(fleet):
        await asyncio.sleep(8)
        context.watching = [
            name
            for name, host in fleet.hosts.items()
            if host.dump()['watch']['is_watching'] and name.startswith('attiki')
        ]

    _play(context, play)


@when('the operator writes the first manifest after all hosts have discovered each other')
def step_first_manifest(context):
    async def play():
        fleet = context.fleet
        await fleet.start_hosts(with_manifest=False)
        try:
            hosts = fleet.hosts.values()
            count = len(fleet.hosts)
            await fleet.until(lambda: all(len(host.members.alive()) == count for host in hosts))
            context.returned_before = [
                host.directory.addresses(name=HOST_NAME, region=region)
                for host in hosts
                for region in ('', 'attiki', 'makedonia')
            ]
            fleet.store.put('config', 'main', manifest(3))
            written = asyncio.get_running_loop().time()
            await fleet.until(
                lambda: all(len(host.members.advertised()) == count for host in hosts)
            )
            context.returned_after_s = asyncio.get_running_loop().time() - written
        finally:
            await fleet.stop()

    run_real(play(), limit_s=RUN_S)


@then(
    'no lookup returns a host before that, and all hosts are returned within {limit:g} s after it'
)
def step_named_then(context, limit):
    assert not any(context.returned_before), context.returned_before
    assert context.returned_after_s <= limit, context.returned_after_s


@then('at most {count:d} hosts of attiki watch the store')
def step_watchers(context, count):
    assert 1 <= len(context.watching) <= count, context.watching


@when('a target registers as draining under load')
def step_drain(context):
    async def play(fleet):
        load = asyncio.create_task(fleet.load(6))
        await asyncio.sleep(2)
        target = fleet.targets[0]
        target.register('draining')
        context.drained_at = asyncio.get_running_loop().time()
        await load
        context.arrivals = target.arrivals

    _play(context, play)


@then('no request reaches it later than 2 s after that, and no request fails')
def step_drained(context):
    assert not context.fleet.failures, context.fleet.failures[:5]
    assert context.arrivals
    late = [at for at in context.arrivals if at > context.drained_at + 2]
    assert not late, late


@when('the operator moves the route to another service under load')
def step_move(context):
    async def play(fleet):
        load = asyncio.create_task(fleet.load(6))
        await asyncio.sleep(2)
        fleet.store.put('config', 'main', manifest(7, service='mora'))
        context.moved_at = asyncio.get_running_loop().time()
        await load

    _play(context, play)


@then('every request sent later than 2 s after that is run by the new service')
def step_moved(context):
    assert not context.fleet.failures, context.fleet.failures[:5]
    later = {body for at, body in context.fleet.answers if at > context.moved_at + 2}
    assert later == {'mora'}, later


@when('the store does not respond for 4 s and its registrations are missing for 1 s')
def step_outage(context):
    async def play(fleet):
        load = asyncio.create_task(fleet.load(10))
        await asyncio.sleep(1)
        fleet.store.mode = 'silent'
        for target in fleet.targets:
            fleet.store.remove('servers', target.name)
        await asyncio.sleep(4)
        fleet.store.mode = 'up'
        await asyncio.sleep(1)
        for target in fleet.targets:
            target.register('ready')
        await load

    _play(context, play)


@when('one host shuts down gracefully while callers follow lookups')
def step_stop(context):
    async def play(fleet):
        context.leaving = 'attiki-1'
        returned = [fleet.addresses[host][0] for host in fleet.zone_by_host]
        context.returned_later = []
        has_looked_up = asyncio.Event()

        async def follow():
            while True:
                found = await fleet.look_up('attiki-0', 'attiki')
                returned[:] = json.loads(found.body)['addresses']
                context.returned_later.append(list(returned))
                has_looked_up.set()
                await asyncio.sleep(1)

        follower = asyncio.create_task(follow())
        load = asyncio.create_task(
            fleet.load(8, address_of=lambda number: returned[number % len(returned)])
        )
        await asyncio.sleep(2)
        # Right after a lookup, so that callers use its result for another second.
        has_looked_up.clear()
        await has_looked_up.wait()
        started = asyncio.get_running_loop().time()
        fleet.hosts[context.leaving].stop()
        await asyncio.wait_for(fleet.tasks[context.leaving], 6)
        context.stop_s = asyncio.get_running_loop().time() - started
        context.gone_address = fleet.addresses[context.leaving][0]
        await load
        follower.cancel()

    _play(context, play)


@then('the host ends within its grace period and lookups on other hosts no longer return it')
def step_stopped(context):
    assert context.stop_s < 6, context.stop_s
    assert context.gone_address not in context.returned_later[-1]


@when('all hosts are killed at once and restart with no state but the store')
def step_restart(context):
    async def play(fleet):
        for host in list(fleet.hosts):
            await fleet.kill(host)
        for host in fleet.zone_by_host:
            fleet.start_host(host)
        await fleet.until(
            lambda: all(host.status()['is_ready'] for host in fleet.hosts.values()), limit_s=3
        )
        await fleet.load(1)

    _play(context, play)


@then('all hosts are ready within 3 s and serve requests')
def step_restarted(context):
    assert not context.fleet.failures, context.fleet.failures[:5]
    assert context.fleet.answers


@when('a caller sends oversized headers, an oversized body, an unknown path and a valid request')
def step_limits(context):
    async def play(fleet):
        address = fleet.addresses['attiki-0'][0]
        large = {'Host': HOST_NAME, 'X-Large': 'x' * 3_000}
        sent = (
            ('/read/1', {'headers': large}),
            ('/read/1', {'headers': {'Host': HOST_NAME}, 'method': 'POST', 'body': 'x' * 6_000}),
            ('/other', {'headers': {'Host': HOST_NAME}}),
            ('/read/1', {'headers': {'Host': HOST_NAME, 'X-Request-Id': 'r-1'}}),
        )
        context.codes = [(await fleet.get(address, path, **more)).code for path, more in sent]

    _play(context, play)


@then('the responses have the status codes 431, 413, 404 and 200')
def step_codes(context):
    assert context.codes == [431, 413, 404, 200], context.codes


@when('a caller sends requests with two lengths, a length and chunks, or a malformed chunk')
def step_smuggle(context):
    hidden = b'GET /read/hidden HTTP/1.1\r\nHost: lepu.example\r\n\r\n'
    head = b'POST /read/1 HTTP/1.1\r\nHost: lepu.example\r\nX-Request-Id: r-1\r\n'
    chunks = b'0\r\n\r\n' + hidden
    attacks = (
        head + b'Content-Length: 0\r\nContent-Length: %d\r\n\r\n' % len(hidden) + hidden,
        head + b'Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n' % len(chunks) + chunks,
        head + b'Transfer-Encoding: chunked\r\n\r\n2x\r\nab\r\n' + chunks,
        head + b'Transfer-Encoding: identity, chunked\r\n\r\n' + chunks,
        head + b'Content-Length: +0\r\n\r\n' + hidden,
        head + b'Content-Length : 0\r\n\r\n' + hidden,
    )

    async def play(fleet):
        number, _, port = fleet.addresses['attiki-0'][0].rpartition(':')
        for attack in attacks:
            reader, writer = await asyncio.open_connection(number, int(port))
            writer.write(attack)
            try:
                async with asyncio.timeout(0.5):
                    await reader.read()
            except (TimeoutError, ConnectionError):
                pass
            writer.close()
        context.heads = [head for target in fleet.targets for head in target.upstream.heads]

    _play(context, play)


@then('no target receives the hidden request')
def step_not_smuggled(context):
    assert not [head for head in context.heads if 'hidden' in head], context.heads


@when('the operator pages are read')
def step_pages(context):
    async def play(fleet):
        await fleet.send(fleet.addresses['attiki-0'][0], 1)
        address = fleet.addresses['attiki-0'][4]
        context.pages = {
            name: (await fleet.get(address, f'/{name}')).body.decode()
            for name in ('status', 'dump', 'metrics')
        }

    _play(context, play)


@then('the status, the dump and the metrics show the manifest and the requests')
def step_told(context):
    status = json.loads(context.pages['status'])
    assert status['is_ready'] and status['manifest_version'] == 3, status
    assert json.loads(context.pages['dump'])['catalog']['manifest_version'] == 3
    lines = context.pages['metrics'].splitlines()
    samples = dict(line.rsplit(' ', 1) for line in lines if not line.startswith('#'))
    expected = {
        'balsamrail_requests_answered_total': 1,
        'balsamrail_request_seconds_count': 1,
        'balsamrail_manifest_version': 3,
        'balsamrail_ready': 1,
        'balsamrail_store_heard': 1,
        'balsamrail_members{state="alive"}': 6,
        'balsamrail_targets_known{service="lepu"}': 3,
        'balsamrail_second_attempts_left{service="lepu"}': 0.1 + 50 / 6,
    }
    found = {name: float(samples.get(name, 'nan')) for name in expected}
    assert all(abs(found[name] - value) < 0.01 for name, value in expected.items()), found
    families = [line.split()[2] for line in lines if line.startswith('# TYPE ')]
    assert len(families) == len(set(families))
    for name in samples:
        family = name.partition('{')[0].removesuffix('_sum').removesuffix('_count')
        assert family in families, name


@given('a host with a settings file')
def step_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name, 'settings.json')


@when('the file gets a different bound, then an error, with SIGHUP after each change')
def step_reload(context):
    fields = {
        'deployment': 'platform',
        'host': 'attiki-1',
        'region': 'attiki',
        'availability_zone': 'attiki-a',
        'caller_address': '127.0.0.1:1',
        'peer_address': '127.0.0.1:2',
        'operator_address': '127.0.0.1:3',
        'store': {'address': '127.0.0.1:4'},
    }

    async def play():
        context.lines = RecordedLog()
        context.path.write_text(json.dumps(fields))
        environment = make_environment(log=context.lines)
        file = SettingsFile(environment=environment, path=str(context.path))
        task = asyncio.create_task(file.run())
        await asyncio.sleep(0)
        for text in (json.dumps({**fields, 'bounds': {'drain_s': 7}}), '{"host": 1}'):
            context.path.write_text(text)
            file.reload()
            await asyncio.sleep(0.1)
        task.cancel()
        context.settings = environment.settings

    run_real(play())


@then('the bound is in force, and the invalid file is logged and not applied')
def step_reloaded(context):
    assert context.settings.bounds.drain_s == 7
    assert any('settings_rejected' in line for line in context.lines.lines)


@when('a host is killed and restarts 6 s later with its clock set back by a minute')
def step_back(context):
    async def play(fleet):
        address = fleet.addresses['attiki-1'][0]
        await fleet.kill('attiki-1')
        await asyncio.sleep(6)
        fleet.start_host('attiki-1', set_back_ms=60_000)
        started = asyncio.get_running_loop().time()

        async def is_named():
            found = await fleet.look_up('makedonia-0', 'attiki')
            return address in json.loads(found.body)['addresses']

        await fleet.until(lambda: fleet.hosts['attiki-1'].status()['is_ready'])
        await asyncio.sleep(max(0, started + 4 - asyncio.get_running_loop().time()))
        context.is_named = await is_named()

    _play(context, play)


@then('lookups on the other hosts return it within 4 s after its start')
def step_named_again(context):
    assert context.is_named


@when('the store comes back from a copy without the entries of three hosts')
def step_entries_lost(context):
    async def play(fleet):
        contents = fleet.store.copy_contents()
        for host in sorted(fleet.zone_by_host)[:3]:
            del contents['objects'][HOSTS_KIND][host]
        fleet.store.restore(contents)
        fleet.store.calls.clear()
        await asyncio.sleep(6)
        context.listed = set(fleet.store.objects[HOSTS_KIND])
        context.hosts = set(fleet.zone_by_host)
        context.entry_calls = [
            (method, uri.rpartition('/')[2])
            for method, uri in fleet.store.calls
            if f'/{HOSTS_KIND}/' in uri or (method == 'POST' and uri.endswith(f'/{HOSTS_KIND}'))
        ]

    _play(context, play)


@then('all hosts are listed in the store 6 s later')
def step_all_listed(context):
    assert context.listed == context.hosts, context.listed


@then('each host has made one fresh read of its entry, and three have written it')
def step_entry_calls(context):
    reads = sorted(name for method, name in context.entry_calls if method == 'GET')
    assert reads == sorted(context.hosts), context.entry_calls
    writes = [method for method, _ in context.entry_calls if method != 'GET']
    assert writes == ['POST'] * 3, context.entry_calls
