"""Steps of catalog.feature on the order in which changes reach a view."""

import random

from behave import then, when

from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject


@when("the store's changes reach a view in any order, more than once and from several sources")
def step_any_order(context):
    pass


@then('no object ever reverts to an older state')
def step_never_back(context):
    for seed in range(300):
        _play_view(seed)


@then('after a final listing the view equals the store')
def step_last_listing(context):
    for seed in range(300):
        _play_view(seed, ends_with_listing=True)


def _play_view(seed, *, ends_with_listing=False):
    rng = random.Random(seed)
    source, updates = _listing_and_updates(rng)
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
    rng.shuffle(updates)
    for update in updates + updates[: rng.randrange(5)]:
        if isinstance(update, Listing):
            view.apply_listing(update)
        else:
            view.apply_events(update)
    if ends_with_listing:
        view.apply_listing(source)
        expected = {stored.name: stored for stored in source.objects}
        assert view.objects_by_name == expected, (view.objects_by_name, expected)


def _listing_and_updates(rng):
    """Return the final listing of a store, and the listings and events that led to it."""
    held, updates = {}, []
    for revision in range(1, 30):
        name = rng.choice('abc')
        stored = StoreObject(name=name, revision=revision, spec=revision)
        is_removal = name in held and rng.random() < 0.4
        if is_removal:
            del held[name]
        else:
            held[name] = stored
        updates.append([ObjectEvent(stored=stored, is_removal=is_removal)])
        if rng.random() < 0.3:
            updates.append(Listing(objects=tuple(held.values()), revision=revision))
    return Listing(objects=tuple(held.values()), revision=30), updates


def _stored(name, revision):
    return StoreObject(name=name, revision=revision, spec=revision)


@when(
    'a new view gets a listing of the store and then an older one with an object that was removed'
)
def step_outdated_listing(context):
    context.view = ObjectView(kind='servers')
    context.view.apply_listing(Listing(objects=(_stored('i-1', 4),), revision=9))
    outdated = (_stored('i-1', 3), _stored('i-2', 5))
    context.view.apply_listing(Listing(objects=outdated, revision=6))


@then('the view does not contain that object, and contains it when it is written again')
def step_not_restored(context):
    found = context.view.objects_by_name
    assert {name: stored.revision for name, stored in found.items()} == {'i-1': 4}, found
    context.view.apply_events([ObjectEvent(stored=_stored('i-2', 12), is_removal=False)])
    assert found['i-2'].revision == 12
