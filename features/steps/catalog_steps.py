"""Steps of catalog.feature."""

import asyncio
import contextlib
import random

import platform_helpers
from behave import given, then, when
from fake_source import FakeSource
from hypothesis import example
from hypothesis import given as for_all
from hypothesis import strategies as st
from placement_parts import REGION_BY_ZONE, make_manifest, make_route
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.feed import Feed
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.store_contact import StoreContact
from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject
from balsamrail.errors import EntryError, StoreError
from balsamrail.platform.catalog_reader import CatalogReader
from balsamrail.platform.manifest_reader import read_manifest
from balsamrail.platform.store_codec import read_events, read_items, read_object
from balsamrail.platform.target_reader import read_target

NAMES = (
    'resources entryKind spec metadata name version host pathPrefix kind state address zone slots '
    'service revision'
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(NAMES.split()), inner, max_size=5)
    ),
    max_leaves=12,
)
TARGET = {
    'state': 'ready',
    'address': '127.0.0.1:9',
    'zone': 'attiki-a',
    'service': 'lepu',
    'slots': 2,
}
ROUTE = {
    'host': 'lepu.example',
    'pathPrefix': '/',
    'kind': 'idempotent',
    'timeoutS': 1,
    'priority': float('inf'),
    'service': 'lepu',
}


@when("the store's changes reach a view in any order, more than once and from several sources")
def step_any_order(context):
    pass


@then('no object ever goes back to an older state')
def step_never_back(context):
    for seed in range(300):
        _play_view(seed)


@then('after a last listing the view holds what the store holds')
def step_last_listing(context):
    for seed in range(300):
        _play_view(seed, ends_with_listing=True)


def _play_view(seed, *, ends_with_listing=False):
    chance = random.Random(seed)
    source, tellings = _tellings(chance)
    view = ObjectView(kind='servers')
    highest = {}

    def changed(events):
        for event in events:
            name, revision = event.stored.name, event.stored.revision
            if event.is_removal:
                assert revision >= highest.get(name, 0), (name, revision, highest)
            else:
                assert revision > highest.get(name, 0), (name, revision, highest)
            highest[name] = revision

    view.subscribe(changed)
    chance.shuffle(tellings)
    for telling in tellings + tellings[: chance.randrange(5)]:
        if isinstance(telling, Listing):
            view.apply_listing(telling)
        else:
            view.apply_events(telling)
    if ends_with_listing:
        view.apply_listing(source)
        expected = {stored.name: stored for stored in source.objects}
        assert view.objects_by_name == expected, (view.objects_by_name, expected)


def _tellings(chance):
    """Return the last listing of a store, and what it told while it changed."""
    held, tellings = {}, []
    for revision in range(1, 30):
        name = chance.choice('abc')
        stored = StoreObject(name=name, revision=revision, spec=revision)
        is_removal = name in held and chance.random() < 0.4
        if is_removal:
            del held[name]
        else:
            held[name] = stored
        tellings.append([ObjectEvent(stored=stored, is_removal=is_removal)])
        if chance.random() < 0.3:
            tellings.append(Listing(objects=tuple(held.values()), revision=revision))
    return Listing(objects=tuple(held.values()), revision=30), tellings


@when('manifests are offered in any order')
def step_offer(context):
    pass


@then('the version in force only grows and ends at the highest')
def step_grows(context):
    async def offer(versions):
        catalog = Catalog(environment=platform_helpers.make_environment())
        seen = []
        catalog.subscribe(lambda: seen.append(catalog.manifest.version))
        for version in versions:
            catalog.offer_manifest(make_manifest(version=version))
        assert seen == sorted(set(seen)), seen
        assert seen[-1] == max(versions)

    for_all(st.lists(st.integers(1, 9), min_size=1))(
        lambda versions: run_virtual(offer(versions))
    )()


@when('any paths are asked for under any prefixes')
def step_paths(context):
    pass


@then('the route is the one with the longest prefix that matches')
def step_longest(context):
    parts = st.lists(st.sampled_from(['a', 'ab', '%2f', '']), max_size=4)
    prefix = parts.map(lambda found: '/'.join(['', *found, '']))

    @for_all(st.sets(prefix, max_size=6), parts.map('/'.join), st.booleans())
    def check(prefixes, path, has_query):
        path = f'/{path}?a=/b/' if has_query else f'/{path}'
        routes = [make_route(path_prefix=found) for found in prefixes]
        manifest = make_manifest(*routes)
        if not prefixes:
            manifest = make_manifest(make_route(host='other.example'))
        found = manifest.route_for(host='lepu.example', path=path)
        matching = [one for one in prefixes if path.partition('?')[0].startswith(one)]
        expected = max(matching, key=len, default=None)
        assert (found.path_prefix if found else None) == expected, (prefixes, path)

    check()


@when('any JSON is read as a manifest, a target or a stored object')
def step_any_json(context):
    pass


@then('it is read or refused with an error of ours')
def step_own_errors(context):
    @for_all(JSON)
    @example({'resources': ['x'], 'version': 1})
    @example({'resources': [{'entryKind': 'routes', 'spec': ['x']}], 'version': 1})
    @example({'metadata': {'name': 'x', 'revision': float('inf')}})
    @example({'resources': [{'entryKind': 'routes', 'spec': ROUTE}], 'version': 1})
    @example({**TARGET, 'slots': 0, 'warmupLeftS': float('nan')})
    def check(found):
        with contextlib.suppress(EntryError):
            read_manifest(found)
        with contextlib.suppress(EntryError):
            read_target(target_id='i-1', spec=found, region_by_availability_zone=REGION_BY_ZONE)
        with contextlib.suppress(StoreError):
            read_object(found)
        if isinstance(found, dict):
            with contextlib.suppress(StoreError):
                read_items(found)
            with contextlib.suppress(StoreError):
                read_events({**found, 'events': found.get('spec'), 'storeRevision': 1})

    check()


@given('a catalog that knows a target')
def step_known_target(context):
    context.up_for_s = 100.0


def _reader(context):
    environment = platform_helpers.make_environment(region_by_availability_zone=REGION_BY_ZONE)
    context.catalog = Catalog(environment=environment)
    reader = CatalogReader(
        environment=environment,
        catalog=context.catalog,
        store_up_for_s=lambda: context.up_for_s,
    )
    context.view = next(view for view in reader.views if view.kind == 'servers')
    _list(context, 1, TARGET)
    assert 'i-1' in context.catalog.entries_by_id


def _list(context, revision, *specs):
    objects = tuple(StoreObject(name='i-1', revision=revision, spec=spec) for spec in specs)
    context.view.apply_listing(Listing(objects=objects, revision=revision))


@when("the target's entry becomes unreadable")
def step_spoilt(context):
    async def spoil():
        _reader(context)
        _list(context, 2, {**TARGET, 'address': 'nowhere'})

    run_virtual(spoil())


@then('the target is gone')
def step_gone(context):
    assert 'i-1' not in context.catalog.entries_by_id


@when('the store changes, loses calls, forgets history and goes away at random')
def step_random_store(context):
    context.seeds = range(1, 31)


@then('the feed holds what the store holds within {bound_s:d} s of its return')
def step_caught_up(context, bound_s):
    for seed in context.seeds:
        run_virtual(_play_feed(random.Random(seed), bound_s))


async def _play_feed(chance, bound_s):
    environment = platform_helpers.make_environment()
    source = FakeSource()
    view = ObjectView(kind='servers')
    contact = StoreContact(environment=environment, source=source, kind='evacuations')
    feed = Feed(environment=environment, source=source, view=view, contact=contact)
    tasks = [asyncio.create_task(contact.run()), asyncio.create_task(feed.run())]
    for _ in range(40):
        match chance.randrange(6):
            case 0:
                source.is_up = not source.is_up
            case 1:
                source.losses += chance.randrange(3)
            case 2:
                source.forget()
            case 3:
                source.remove(chance.choice('abc'))
            case _:
                source.write(chance.choice('abc'), source.revision)
        await asyncio.sleep(chance.choice((0.0, 0.1, 2.0, 20.0)))
    source.is_up, source.losses = True, 0
    await asyncio.sleep(bound_s)
    assert view.objects_by_name == source.objects_by_name
    source.write('d', 1)
    await asyncio.sleep(bound_s)
    assert 'd' in view.objects_by_name
    for task in tasks:
        task.cancel()


@when('the store returns without the target and the target registers again after 1 s')
def step_registers_again(context):
    async def lapse():
        _reader(context)
        context.up_for_s = 0
        _list(context, 2)
        gone = []
        context.catalog.subscribe(lambda: gone.append('i-1' not in context.catalog.entries_by_id))
        await asyncio.sleep(1)
        _list(context, 3, TARGET)
        await asyncio.sleep(10)
        context.was_gone = any(gone)

    run_virtual(lapse())


@then('the target was never gone')
def step_never_gone(context):
    assert not context.was_gone
    assert 'i-1' in context.catalog.entries_by_id


@when('the store returns without the target')
def step_returns_without(context):
    async def lapse():
        _reader(context)
        context.up_for_s = 0
        _list(context, 2)
        await asyncio.sleep(1.9)
        context.was_known = 'i-1' in context.catalog.entries_by_id
        await asyncio.sleep(0.2)

    run_virtual(lapse())


@then('the target is gone 2 s after the return and not before')
def step_gone_after(context):
    assert context.was_known
    assert 'i-1' not in context.catalog.entries_by_id


@given('a target that leaves while a host is cut off from the store for 12 s')
def step_cut_off(context):
    context.phases = [number / 20 for number in range(40)]


@when('the cut ends at any moment')
def step_cut_ends(context):
    context.known_after = [phase for phase in context.phases if run_virtual(_cut_off(phase))]


async def _cut_off(phase):
    """Return whether the target is still known 2.8 s after the end of the cut."""
    environment = platform_helpers.make_environment(region_by_availability_zone=REGION_BY_ZONE)
    source = FakeSource()
    source.write('i-1', TARGET)
    catalog = Catalog(environment=environment)
    contact = StoreContact(environment=environment, source=source, kind='evacuations')
    reader = CatalogReader(
        environment=environment, catalog=catalog, store_up_for_s=contact.up_for_s
    )
    view = next(view for view in reader.views if view.kind == 'servers')
    feed = Feed(environment=environment, source=source, view=view, contact=contact)
    tasks = [asyncio.create_task(contact.run()), asyncio.create_task(feed.run())]
    await asyncio.sleep(5 + phase)
    assert 'i-1' in catalog.entries_by_id
    source.is_cut = True
    await asyncio.sleep(3)
    source.objects_by_name.clear()
    source.forget()
    await asyncio.sleep(9)
    source.is_cut = False
    # Hosts are bound again 3 s after the end; the rest is for what is on its way.
    await asyncio.sleep(2.8)
    for task in tasks:
        task.cancel()
    return 'i-1' in catalog.entries_by_id


@then('the host has dropped the target 2.8 s after its end')
def step_dropped(context):
    assert not context.known_after, context.known_after
