"""Steps of catalog.feature on feeds during failures of the store."""

import asyncio
import random

import platform_helpers
from behave import given, then, when
from catalog_values import TARGET
from fake_source import FakeSource
from placement_parts import REGION_BY_ZONE
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.feed import Feed
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.store_monitor import StoreMonitor
from balsamrail.platform.catalog_reader import CatalogReader


@when('the store changes, loses calls, discards history, becomes unavailable and comes back older')
def step_random_store(context):
    context.seeds = range(1, 31)


@then('the feed equals the store within {bound_s:d} s of its recovery')
def step_caught_up(context, bound_s):
    for seed in context.seeds:
        run_virtual(_play_feed(random.Random(seed), bound_s))


def _start_feed():
    """Start a feed of a source that is empty; return its source, view and tasks."""
    environment = platform_helpers.make_environment()
    source = FakeSource()
    view = ObjectView(kind='servers')
    contact = StoreMonitor(environment=environment, source=source, kind='evacuations')
    feed = Feed(environment=environment, source=source, view=view, contact=contact)
    tasks = [asyncio.create_task(contact.run()), asyncio.create_task(feed.run())]
    return source, view, tasks


async def _play_feed(rng, bound_s):
    source, view, tasks = _start_feed()
    copies = [source.copy_contents()]
    for _ in range(40):
        copies.append(source.copy_contents())
        match rng.randrange(7):
            case 0:
                source.is_up = not source.is_up
            case 1:
                source.losses += rng.randrange(3)
            case 2:
                source.forget()
            case 3:
                source.remove(rng.choice('abc'))
            case 4:
                source.restore(rng.choice(copies[-5:]))
            case _:
                source.write(rng.choice('abc'), source.revision)
        await asyncio.sleep(rng.choice((0.0, 0.1, 2.0, 20.0)))
    source.is_up, source.losses = True, 0
    await asyncio.sleep(bound_s)
    assert view.objects_by_name == {stored.name: stored for stored in source.listed()}
    source.write('d', 1)
    await asyncio.sleep(bound_s)
    assert 'd' in view.objects_by_name
    for task in tasks:
        task.cancel()


@given('a target that shuts down while a host is cut off from the store for 12 s')
def step_cut_off(context):
    context.phases = [number / 20 for number in range(40)]


@when('the connection is restored at any moment')
def step_cut_ends(context):
    context.known_after = [phase for phase in context.phases if run_virtual(_cut_off(phase))]


async def _cut_off(phase):
    """Return whether the target is still known 2.8 s after the connection is restored."""
    environment = platform_helpers.make_environment(region_by_availability_zone=REGION_BY_ZONE)
    source = FakeSource()
    source.write('i-1', TARGET)
    catalog = Catalog(environment=environment)
    contact = StoreMonitor(environment=environment, source=source, kind='evacuations')
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
    # Hosts must be up to date 3 s after the end; the remaining 0.2 s are for messages in flight.
    await asyncio.sleep(2.8)
    for task in tasks:
        task.cancel()
    return 'i-1' in catalog.entries_by_id


@then('the host has removed the target 2.8 s later')
def step_dropped(context):
    assert not context.known_after, context.known_after


@when('the store comes back older and reaches the revision of a watch before that is answered')
def step_given_out_again(context):
    context.phases = [number / 10 for number in range(12)]


@then('the feed equals the store {bound_s:g} s later')
def step_equal_at_once(context, bound_s):
    late = [phase for phase in context.phases if not run_virtual(_is_equal(phase, bound_s))]
    assert not late, late


async def _is_equal(phase, bound_s):
    source, view, tasks = _start_feed()
    contents = source.copy_contents()
    source.write('a', 1)
    source.write('b', 1)
    await asyncio.sleep(5 + phase)
    source.restore(contents)
    for name in 'cdef':
        source.write(name, 2)
    await asyncio.sleep(bound_s)
    for task in tasks:
        task.cancel()
    return view.objects_by_name == {stored.name: stored for stored in source.listed()}
