"""Steps of catalog.feature on targets whose entries are removed or become unreadable."""

import asyncio

import platform_helpers
from behave import given, then, when
from catalog_values import TARGET
from placement_parts import REGION_BY_ZONE
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, StoreObject
from balsamrail.platform.catalog_reader import CatalogReader


@given('a catalog with a registered target')
def step_known_target(context):
    context.up_for_s = 100.0


def _register_target(context):
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


def _list(context, number, *specs):
    revision = Revision(number=number)
    objects = tuple(StoreObject(name='i-1', revision=revision, spec=spec) for spec in specs)
    context.view.apply_listing(Listing(objects=objects, revision=revision))


@when("the target's entry becomes unreadable")
def step_unreadable(context):
    async def corrupt():
        _register_target(context)
        _list(context, 2, {**TARGET, 'address': 'nowhere'})

    run_virtual(corrupt())


@then('the target has been removed')
def step_gone(context):
    assert 'i-1' not in context.catalog.entries_by_id


@when('the store recovers without the target and the target registers again after 1 s')
def step_registers_again(context):
    async def play():
        _register_target(context)
        context.up_for_s = 0
        _list(context, 2)
        gone = []
        context.catalog.subscribe(lambda: gone.append('i-1' not in context.catalog.entries_by_id))
        await asyncio.sleep(1)
        _list(context, 3, TARGET)
        await asyncio.sleep(10)
        context.was_gone = any(gone)

    run_virtual(play())


@then('the target was never removed')
def step_never_gone(context):
    assert not context.was_gone
    assert 'i-1' in context.catalog.entries_by_id


@when('the store recovers without the target')
def step_returns_without(context):
    async def play():
        _register_target(context)
        context.up_for_s = 0
        _list(context, 2)
        await asyncio.sleep(1.9)
        context.was_known = 'i-1' in context.catalog.entries_by_id
        await asyncio.sleep(0.2)

    run_virtual(play())


@then('the target is removed 2 s after the recovery and not before')
def step_gone_after(context):
    assert context.was_known
    assert 'i-1' not in context.catalog.entries_by_id
