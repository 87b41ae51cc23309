"""Steps of odd_entries.feature."""

import asyncio
import json

import platform_helpers
from behave import given, then, when
from forwarding_parts import RawUpstream, whole
from placement_parts import REGION_BY_ZONE

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.feed import Feed
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.store_monitor import StoreMonitor
from balsamrail.fleet.object_codec import pack_objects, unpack_objects
from balsamrail.platform.catalog_reader import EVACUATIONS, MANIFESTS, TARGETS, CatalogReader
from balsamrail.platform.host_registry import HostRegistry
from balsamrail.platform.object_store import ObjectStore
from balsamrail.store import HttpStore
from features.steps.fake_source import FakeSource
from features.steps.virtual_time import run_virtual

HOSTS = 'balsamrail-hosts'
DEEP = 100_000
LIMIT_S = 3
MANIFEST = {
    'version': 1,
    'resources': [
        {
            'entryKind': 'routes',
            'metadata': {'name': 'r1'},
            'spec': {
                'host': 'lepu.example',
                'pathPrefix': '/',
                'kind': 'idempotent',
                'timeoutS': 1,
                'service': 'lepu',
            },
        }
    ],
}
SOUND = {
    'service': 'lepu',
    'address': '10.1.0.1:80',
    'zone': 'attiki-a',
    'version': '1',
    'slots': 2,
    'state': 'ready',
    'warmupLeftS': 0,
    'sequence': 1,
    'born': 1_700_000_000_000,
}
DIGITS = {
    '5,000 digits': '9' * 5_000,
    '400 digits': '9' * 400,
    '2 to the power of 64': str(2**64),
    '1e308': '1e308',
    'NaN': 'NaN',
}
SURROGATE = r'"\ud800"'
VALUES = {
    **DIGITS,
    'arrays 100,000 deep': '[' * DEEP + ']' * DEEP,
    'objects 100,000 deep': '{"a":' * DEEP + '1' + '}' * DEEP,
    'arrays 600 deep': '[' * 600 + ']' * 600,
    'a lone surrogate': SURROGATE,
    'a key with a surrogate': r'{"\ud800": 1}',
    'brackets in a text': r'"[[[{{{\"[[["',
}
# Raw values of fields, by the words of the feature.
FIELDS = {
    'a port out of range': {'address': '"10.1.0.2:70000"'},
    'a port in digits that are not ASCII': {'address': r'"10.1.0.2:\u0668\u0660"'},
    'a port of 5,000 digits': {'address': f'"10.1.0.2:{"1" * 5_000}"'},
    'a service with a lone surrogate': {'service': SURROGATE},
    'a version with a lone surrogate': {'version': SURROGATE},
    'a zone with a lone surrogate': {'zone': SURROGATE},
    'a list for each field': dict.fromkeys(SOUND, '[]'),
}


def raw_spec(**raw_fields):
    """Return the JSON text of a sound target with some fields replaced by raw text."""
    fields = {name: json.dumps(value) for name, value in SOUND.items()}
    fields['address'] = '"10.1.0.2:80"'
    fields |= raw_fields
    return '{' + ','.join(f'"{name}":{text}' for name, text in fields.items()) + '}'


def raw_item(name, spec, *, revision=5):
    return f'{{"metadata":{{"name":{name},"revision":{revision}}},"spec":{spec},"status":null}}'


def sound_item(name='"sound"', **more):
    return raw_item(name, raw_spec(address='"10.1.0.1:80"'), **more)


class RawStore:
    """Serves raw JSON texts; with the texts of the items of each kind, and of the next events of targets."""

    def __init__(self):
        self.items = {
            TARGETS: [sound_item()],
            MANIFESTS: [raw_item('"main"', json.dumps(MANIFEST))],
            EVACUATIONS: [],
            HOSTS: [],
        }
        self.events = {}
        self.revision = 6
        self.watched_from = []
        self._has_events = {kind: asyncio.Event() for kind in self.items}

    async def start(self):
        self._server = await RawUpstream(self._answer).start()
        self.address = self._server.address
        return self

    def stop(self):
        self._server.stop()

    def send(self, *texts, kind=TARGETS):
        """Deliver events, given as raw texts, by the next watch of a kind."""
        self.revision += len(texts)
        self.events[kind] = texts
        self._has_events[kind].set()

    async def _answer(self, number, headers, writer):
        path = self._server.heads[number - 1].split(' ')[1]
        kind = path.split('?')[0].rsplit('/', 1)[1]
        if 'watch=' not in path:
            text = f'"items":[{",".join(self.items[kind])}],"hasMore":false'
        else:
            if kind == TARGETS:
                self.watched_from.append(int(path.split('watch=')[1].split('&')[0]))
            await self._has_events[kind].wait()
            self._has_events[kind].clear()
            text = f'"events":[{",".join(self.events.pop(kind))}]'
        body = f'{{{text},"storeRevision":{self.revision}}}'
        writer.write(whole(body.encode(), Content_Type='application/json'))


class ReadingHost:
    """The part of a host that reads the store."""

    def __init__(self, store):
        self.log = platform_helpers.RecordedLog()
        environment = platform_helpers.make_environment(
            store_address=store.address, log=self.log, region_by_availability_zone=REGION_BY_ZONE
        )
        self.store = ObjectStore(environment=environment)
        self.catalog = Catalog(environment=environment)
        self.reader = CatalogReader(
            environment=environment, catalog=self.catalog, store_up_for_s=lambda: 9
        )
        contact = StoreMonitor(environment=environment, source=self.store, kind=EVACUATIONS)
        feeds = [
            Feed(environment=environment, source=self.store, view=view, contact=contact)
            for view in self.reader.views
        ]
        self.registry = HostRegistry(environment=environment, store=self.store)
        self.tasks = [asyncio.create_task(part.run()) for part in (contact, *feeds)]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.store.close()

    def target_ids(self):
        return set(self.catalog.entries_by_id)

    def lines(self):
        return ''.join(self.log.lines)


async def _wait(condition):
    ends_at = asyncio.get_running_loop().time() + LIMIT_S
    while not condition():
        assert asyncio.get_running_loop().time() < ends_at, f'not within {LIMIT_S} s'
        await asyncio.sleep(0.02)


@given('a store that lists a sound target beside one with an unread field of {odd}')
def step_unread(context, odd):
    context.store = RawStore()
    context.store.items[TARGETS].append(raw_item('"odd"', raw_spec(unread=VALUES[odd])))


@given('a store that lists a sound target beside one with {odd}')
def step_odd_target(context, odd):
    context.store = RawStore()
    if odd in FIELDS:
        spec = raw_spec(**FIELDS[odd])
    elif odd.startswith('a spec nested'):
        depth = int(odd.split()[3].replace(',', ''))
        spec = '[' * depth + ']' * depth
    else:
        field, value = odd.split(' of ', 1)
        spec = raw_spec(**{field: DIGITS[value]})
    context.store.items[TARGETS].insert(0, raw_item('"odd"', spec))


@given('a store in which {odd_object} is odd')
def step_odd_object(context, odd_object):
    context.store = RawStore()
    items = context.store.items
    match odd_object:
        case 'the name of a target':
            items[TARGETS].append(raw_item(SURROGATE, raw_spec()))
        case 'the revision of a target':
            items[TARGETS].append(raw_item('"odd"', raw_spec(), revision='9' * 400))
        case _:
            kind = EVACUATIONS if 'evacuation' in odd_object else MANIFESTS
            spec = VALUES['5,000 digits' if 'digits' in odd_object else 'arrays 100,000 deep']
            items[kind].append(raw_item('"kriti-a"', spec))


@when('a host reads the store')
def step_read(context):
    async def play():
        store = await context.store.start()
        host = ReadingHost(store)
        try:
            await _wait(lambda: 'sound' in host.target_ids() and host.catalog.is_ready())
            context.target_ids = host.target_ids()
            context.passed_on = {
                view.kind: unpack_objects(pack_objects(view.objects_by_name.values()))
                for view in host.reader.views
            }
            context.read = {
                view.kind: list(view.objects_by_name.values()) for view in host.reader.views
            }
            next_target = sound_item('"next"', revision=7)
            store.send(f'{{"object":{next_target},"tombstone":false}}')
            await _wait(lambda: 'next' in host.target_ids())
            # Listed once more, as after an outage.
            context.running = [not task.done() for task in host.tasks]
        finally:
            context.lines = host.lines()
            host.stop()
            store.stop()

    platform_helpers.run_real(play())


@then('it uses the sound target alone, and reports the odd one once')
def step_sound_alone(context):
    assert context.target_ids == {'sound'}, context.target_ids
    assert context.lines.count('event=target_rejected ') == 1, context.lines[-2_000:]
    assert 'object=odd ' in context.lines, context.lines[-2_000:]


@then('it uses the sound target')
def step_sound(context):
    assert 'sound' in context.target_ids, context.target_ids


@then('it can pass on what it has read, and follows the next change')
def step_passes_on(context):
    # Compared as texts, since NaN does not equal itself.
    assert repr(context.passed_on) == repr(context.read)
    assert all(context.running), context.running


ODD_EVENTS = {
    'no object': '{"tombstone":false}',
    'an object without a name': '{"object":{"spec":1},"tombstone":false}',
    'a number in its place': '7',
    'a spec nested 100,000 deep': (
        f'{{"object":{raw_item(chr(34) + "odd" + chr(34), "[" * DEEP + "]" * DEEP)}}}'
    ),
    'a number of 5,000 digits': (
        f'{{"object":{raw_item(chr(34) + "odd" + chr(34), DIGITS["5,000 digits"])}}}'
    ),
    'a revision of 400 digits': (
        f'{{"object":{raw_item(chr(34) + "odd" + chr(34), "1", revision=DIGITS["400 digits"])}}}'
    ),
}


@given('a store whose next events have one with {odd} between two sound targets')
def step_odd_event(context, odd):
    context.store = RawStore()
    context.store.items[TARGETS] = []
    first = f'{{"object":{sound_item(chr(34) + "first" + chr(34), revision=7)}}}'
    second = f'{{"object":{sound_item(chr(34) + "second" + chr(34), revision=9)}}}'
    context.events = (first, ODD_EVENTS[odd], second)


@when('a host reads the store and watches it')
def step_read_and_watch(context):
    async def play():
        store = await context.store.start()
        host = ReadingHost(store)
        try:
            await _wait(host.catalog.is_ready)
            await _wait(lambda: store.watched_from)
            store.send(*context.events)
            await _wait(lambda: {'first', 'second'} <= host.target_ids())
            await _wait(lambda: store.watched_from[-1] == store.revision)
        finally:
            host.stop()
            store.stop()

    context.play = play


@then('it uses both targets, and has watched on from the revision of the events')
def step_both(context):
    platform_helpers.run_real(context.play())


@given('a view whose subscriber fails once')
def step_failing(context):
    context.failures = [ValueError('a subscriber failed')]


@when('its feed gets an event, and later another one')
def step_two_events(context):
    async def play():
        log = platform_helpers.RecordedLog()
        environment = platform_helpers.make_environment(log=log)
        source = FakeSource()
        view = ObjectView(kind=TARGETS)
        contact = StoreMonitor(environment=environment, source=source, kind=EVACUATIONS)
        feed = Feed(environment=environment, source=source, view=view, contact=contact)
        tasks = [asyncio.create_task(part.run()) for part in (contact, feed)]
        await asyncio.sleep(1)

        def fail_once(events):
            if context.failures:
                raise context.failures.pop()

        view.subscribe(fail_once)
        for name in ('first', 'second'):
            source.write(name, 1)
            await asyncio.sleep(3)
        context.names = set(view.objects_by_name)
        context.lines = ''.join(log.lines)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(play())


@then('the log has the failure, and the feed delivers the later event')
def step_logged(context):
    assert context.names == {'first', 'second'}, context.names
    assert 'event=feed_failed ' in context.lines, context.lines
    assert 'a subscriber failed' in context.lines, context.lines


ODD_HOSTS = {
    'a spec nested 100,000 deep': ('"odd"', '[' * DEEP + ']' * DEEP),
    'an address of 5,000 digits': ('"odd"', f'{{"address":{"9" * 5_000},"state":"live"}}'),
    'an address with a surrogate': ('"odd"', f'{{"address":{SURROGATE},"state":"live"}}'),
    'a name with a surrogate': (SURROGATE, '{"address":"10.1.0.9:1","state":"live"}'),
    'a port out of range': ('"odd"', '{"address":"10.1.0.9:70000","state":"live"}'),
    'a list as its state': ('"odd"', '{"address":"10.1.0.9:1","state":[]}'),
}


@given('a store that lists a sound host beside one with {odd}')
def step_odd_host(context, odd):
    name, spec = ODD_HOSTS[odd]
    context.store = RawStore()
    context.store.items[HOSTS] = [
        raw_item(name, spec),
        raw_item('"sound"', '{"address":"10.1.0.8:1","state":"live"}'),
    ]


@when('a host lists the hosts')
def step_list_hosts(context):
    async def play():
        store = await context.store.start()
        host = ReadingHost(store)
        try:
            context.found = [listed.host for listed in await host.registry.list_hosts()]
        finally:
            host.stop()
            store.stop()

    platform_helpers.run_real(play())


@then('it finds the sound one alone')
def step_sound_host(context):
    assert context.found == ['sound'], context.found


@given("a node's store that lists a sound entry beside one with {odd}")
def step_node_store(context, odd):
    match odd:
        case 'no fields':
            context.odd_host = context.odd_object = '{}'
        case 'a number in its place':
            context.odd_host = context.odd_object = '7'
        case _:
            value = VALUES[odd]
            context.odd_host = f'{{"host":"odd","address":{value},"state":"live"}}'
            context.odd_object = f'{{"name":{value},"version":3}}'


@when('a node lists its hosts and objects')
def step_node_lists(context):
    hosts = f'{{"hosts":[{context.odd_host},{{"host":"sound","address":"10.1.0.1:1","state":"live"}}]}}'
    objects = f'{{"objects":[{context.odd_object},{{"name":"sound","version":3}}]}}'

    async def play():
        async def answer(number, headers, writer):
            is_hosts = '/hosts' in store.heads[number - 1].split(' ')[1]
            body = hosts if is_hosts else objects
            writer.write(whole(body.encode(), Content_Type='application/json'))

        store = await RawUpstream(answer).start()
        log = platform_helpers.RecordedLog()
        environment = platform_helpers.make_environment(store_address=store.address, log=log)
        client = HttpStore(environment=environment)
        for _ in range(2):
            context.hosts = [listed.host for listed in await client.list_hosts()]
            context.names = set(await client.list_names(prefix=''))
        context.lines = ''.join(log.lines)
        store.stop()

    platform_helpers.run_real(play())


@then('it finds the sound ones alone, and reports the odd ones once')
def step_node_found(context):
    assert context.hosts == ['sound'], context.hosts
    assert context.names == {'sound'}, context.names
    assert context.lines.count('event=store_entry_malformed kind=host') <= 1, context.lines
    assert context.lines.count('event=store_entry_malformed') == 2, context.lines[-500:]


ODD_MANIFESTS = {
    'resources nested 100,000 deep': f'{{"version":2,"resources":{VALUES["arrays 100,000 deep"]}}}',
    'a version of 5,000 digits': json.dumps(MANIFEST).replace(
        '"version": 1', f'"version": {DIGITS["5,000 digits"]}'
    ),
    'a version of 2 to the power of 64': json.dumps(MANIFEST).replace(
        '"version": 1', f'"version": {2**64}'
    ),
    'a lone surrogate as a host name': json.dumps(MANIFEST)
    .replace('"version": 1', '"version": 2')
    .replace('"lepu.example"', SURROGATE),
}


@given('a store with a manifest, whose next one has {odd}')
def step_odd_manifest(context, odd):
    context.store = RawStore()
    context.odd_manifest = ODD_MANIFESTS[odd]


@when('a host reads the store, gets that one and then a sound one')
def step_manifests(context):
    def event(spec, revision):
        return f'{{"object":{raw_item(chr(34) + "main" + chr(34), spec, revision=revision)}}}'

    async def play():
        store = await context.store.start()
        host = ReadingHost(store)
        context.versions = []
        try:
            await _wait(host.catalog.is_ready)
            store.send(event(context.odd_manifest, 7), kind=MANIFESTS)
            await _wait(lambda: 'event=manifest_rejected ' in host.lines())
            context.versions.append(host.catalog.manifest.version)
            sound = json.dumps({**MANIFEST, 'version': 3})
            store.send(event(sound, 8), kind=MANIFESTS)
            await _wait(lambda: host.catalog.manifest.version == 3)
            context.lines = host.lines()
        finally:
            host.stop()
            store.stop()

    platform_helpers.run_real(play())


@then('the first one stays in force until the sound one is, and the odd one is reported once')
def step_manifest_stays(context):
    assert context.versions == [1], context.versions
    assert context.lines.count('event=manifest_rejected ') == 1, context.lines
