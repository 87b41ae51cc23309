"""Steps of catalog.feature on entries that a store loses when it comes back from an older copy."""

import asyncio

import platform_helpers
from behave import then, when
from catalog_values import TARGET
from placement_parts import REGION_BY_ZONE
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject
from balsamrail.platform.catalog_reader import EVACUATIONS, TARGETS, CatalogReader

HEARTBEAT_S = 1.5
UP_FOR_S = (0.0, 1.0, 100.0)
ENTRIES = {TARGETS: ('i-1', TARGET), EVACUATIONS: ('attiki-b', {})}


class RestoredStore:
    """The views of a host, and the contents of a store that comes back older."""

    def __init__(self, *, up_for_s=100.0):
        environment = platform_helpers.make_environment(region_by_availability_zone=REGION_BY_ZONE)
        self.catalog = Catalog(environment=environment)
        reader = CatalogReader(
            environment=environment, catalog=self.catalog, store_up_for_s=lambda: up_for_s
        )
        self.view_by_kind = {view.kind: view for view in reader.views}
        self.era = 1
        self.number = 1

    def list_entries(self, *, are_present):
        """Apply listings of the targets and the evacuations in the current era."""
        for kind in ENTRIES:
            objects = (self._stored(kind),) if are_present else ()
            revision = Revision(era=self.era, number=self.number)
            self.view_by_kind[kind].apply_listing(Listing(objects=objects, revision=revision))

    def change_entries(self, *, is_removal):
        self.number += 1
        for kind in ENTRIES:
            event = ObjectEvent(stored=self._stored(kind), is_removal=is_removal)
            self.view_by_kind[kind].apply_events([event])

    def put_target(self, spec):
        revision = Revision(era=self.era, number=self.number)
        stored = StoreObject(name='i-1', revision=revision, spec=spec)
        self.view_by_kind[TARGETS].apply_events([ObjectEvent(stored=stored, is_removal=False)])

    def list_targets(self, spec):
        revision = Revision(era=self.era, number=self.number)
        stored = StoreObject(name='i-1', revision=revision, spec=spec)
        self.view_by_kind[TARGETS].apply_listing(Listing(objects=(stored,), revision=revision))

    def addresses(self):
        return [(entry.address, entry.slots) for entry in self.catalog.targets_of('lepu')]

    def in_force(self):
        targets = self.catalog.targets_of('lepu')
        return bool(targets), bool(self.catalog.evacuated_zones)

    def _stored(self, kind):
        name, spec = ENTRIES[kind]
        return StoreObject(
            name=name, revision=Revision(era=self.era, number=self.number), spec=spec
        )


@when(
    'the store comes back older without the target and an evacuation, at any time after an outage'
)
def step_lost(context):
    async def play(up_for_s, written_after_s):
        store = RestoredStore(up_for_s=up_for_s)
        store.number = 9
        store.list_entries(are_present=True)
        store.era, store.number = 2, 4
        store.list_entries(are_present=False)
        await asyncio.sleep(written_after_s)
        found = [store.in_force()]
        if written_after_s < 2:
            store.change_entries(is_removal=False)
        await asyncio.sleep(0.2)
        found.append(store.in_force())
        await asyncio.sleep(5)
        return [*found, store.in_force()]

    context.found = {
        (up_for_s, after_s): run_virtual(play(up_for_s, after_s))
        for up_for_s in UP_FOR_S
        for after_s in (1.0, 1.9, 2.1)
    }


@then('both stay in force for 2 s, and for good if they are written again within that time')
def step_kept(context):
    kept, gone = (True, True), (False, False)
    for (up_for_s, after_s), found in context.found.items():
        expected = [kept, kept, kept] if after_s < 2 else [gone, gone, gone]
        assert found == expected, (up_for_s, after_s, found)


@when('the store comes back older with the target and an evacuation, and both are removed')
def step_removed(context):
    async def play():
        store = RestoredStore()
        store.number = 9
        store.list_entries(are_present=True)
        store.era, store.number = 2, 4
        store.list_entries(are_present=True)
        found = [store.in_force()]
        store.change_entries(is_removal=True)
        return [*found, store.in_force()]

    context.found = run_virtual(play())


@then('both are gone at once')
def step_gone_at_once(context):
    assert context.found == [(True, True), (False, False)], context.found


@when('the target has {changed} and the store comes back older with its first entry')
def step_changed(context, changed):
    first = {**TARGET, 'sequence': 5, 'born': 1_000}
    last = {
        'begun to drain': {**first, 'sequence': 9, 'state': 'draining'},
        'left': first,
        'been started again': {**first, 'sequence': 1, 'born': 2_000, 'address': '127.0.0.1:8'},
    }[changed]
    renewed = {**last, 'sequence': 10, 'state': 'ready', 'slots': 3}

    async def play(*, is_renewed):
        store = RestoredStore()
        store.list_targets(first)
        for number, spec in ((1, first), (9, last)):
            store.number = number
            store.put_target(spec)
        if changed == 'left':
            store.change_entries(is_removal=True)
        expected = store.addresses()
        await asyncio.sleep(60)
        store.era, store.number = 2, 4
        store.list_targets(first)
        found = [store.addresses()]
        await asyncio.sleep(3 * HEARTBEAT_S + 0.9)
        found.append(store.addresses())
        if is_renewed:
            store.number = 6
            store.put_target(renewed)
            return expected, found, store.addresses() == [(renewed['address'], 3)]
        await asyncio.sleep(0.2)
        return expected, found, store.addresses() == [(first['address'], 2)]

    context.found = [run_virtual(play(is_renewed=value)) for value in (True, False)]


@then('its state is kept until the target writes again, or for three heartbeats and 1 s')
def step_state_kept(context):
    for expected, found, is_believed in context.found:
        assert found == [expected, expected], (expected, found)
        assert is_believed


@when(
    'the store comes back without the target and an evacuation, and once more before they are '
    'written'
)
def step_lost_twice(context):
    async def play(again_after_s):
        store = RestoredStore()
        store.number = 9
        store.list_entries(are_present=True)
        for era, pause_s in ((2, again_after_s), (3, 1.5)):
            store.era, store.number = era, 4
            store.list_entries(are_present=False)
            await asyncio.sleep(pause_s)
        found = store.in_force()
        store.change_entries(is_removal=False)
        await asyncio.sleep(5)
        return found, store.in_force()

    context.found = {after_s: run_virtual(play(after_s)) for after_s in (0.5, 1.0, 1.9)}


@then('both stay in force until they are written again')
def step_kept_twice(context):
    for after_s, found in context.found.items():
        assert found == ((True, True), (True, True)), (after_s, found)


@when('the store comes back without the target, and once more with an outdated entry of it')
def step_outdated_after_loss(context):
    first = {**TARGET, 'sequence': 5, 'born': 1_000}

    async def play():
        store = RestoredStore()
        store.list_targets(first)
        store.number = 9
        store.put_target({**first, 'sequence': 9})
        store.era, store.number = 2, 1
        store.list_entries(are_present=False)
        await asyncio.sleep(1)
        store.era, store.number = 3, 4
        store.list_targets(first)
        found = []
        for _ in range(12):
            found.append(bool(store.addresses()))
            await asyncio.sleep(0.5)
        return found

    context.found = run_virtual(play())


@then('the target is in use all the time')
def step_in_use(context):
    assert all(context.found), context.found
