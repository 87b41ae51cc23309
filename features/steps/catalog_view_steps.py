"""Steps of catalog.feature on the order in which changes reach a view."""

import random
from dataclasses import replace

from behave import then, when

from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.revision import Revision
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
                assert revision >= highest.get(name, Revision()), (name, revision, highest)
            else:
                assert revision > highest.get(name, Revision()), (name, revision, highest)
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
    """Return the final listing of a store, and the listings and events that led to it.

    The store comes back from older copies now and then.
    """
    held, updates, era, number = {}, [], 1, 0
    copies = [(0, {})]
    for _ in range(30):
        if rng.random() < 0.1:
            era += 1
            number, copied = rng.choice(copies)
            held = {name: _in_era(stored, era) for name, stored in copied.items()}
        number += 1
        revision = Revision(era=era, number=number)
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
        copies.append((number, dict(held)))
    last = Revision(era=era, number=number + 1)
    return Listing(objects=tuple(held.values()), revision=last), updates


def _in_era(stored, era):
    return replace(stored, revision=replace(stored.revision, era=era))


def _stored(name, number):
    return StoreObject(name=name, revision=Revision(number=number), spec=number)


def _listing(number, *objects):
    return Listing(objects=objects, revision=Revision(number=number))


@when(
    'a new view gets a listing of the store and then an older one with an object that was removed'
)
def step_outdated_listing(context):
    context.view = ObjectView(kind='servers')
    context.view.apply_listing(_listing(9, _stored('i-1', 4)))
    context.view.apply_listing(_listing(6, _stored('i-1', 3), _stored('i-2', 5)))


@then('the view does not contain that object, and contains it when it is written again')
def step_not_restored(context):
    found = context.view.objects_by_name
    assert {name: stored.revision.number for name, stored in found.items()} == {'i-1': 4}, found
    context.view.apply_events([ObjectEvent(stored=_stored('i-2', 12), is_removal=False)])
    assert found['i-2'].revision.number == 12
