"""Steps of watch_duty.feature on a source and a follower when the store comes back older."""

import asyncio

import platform_helpers
from behave import given, then, when
from virtual_time import run_virtual

from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject
from balsamrail.fleet.feed_follower import FeedFollower
from balsamrail.fleet.feed_hub import FeedHub


def _stored(name, *, era=1, number):
    return StoreObject(name=name, revision=Revision(era=era, number=number), spec=number)


def _list(view, *objects, era=1, number):
    revision = Revision(era=era, number=number)
    view.apply_listing(Listing(objects=objects, revision=revision))


class _Network:
    """One host's side of a network that delivers every message at once."""

    def __init__(self, host, receivers):
        self.host = host
        self.receivers = receivers

    async def send(self, host, message):
        receive = self.receivers.get((host, type(message)))
        if receive is not None:
            receive(self.host, message)
        return True

    def subscribe(self, kind, receive):
        self.receivers[self.host, kind] = receive


class _DirectStatus:
    def receives_changes(self):
        return True

    def hops(self):
        return 0

    def store_up_for_s(self):
        return 10.0


class SourceAndFollower:
    def __init__(self, source_objects):
        receivers = {}
        self.source = ObjectView(kind='servers')
        self.view = ObjectView(kind='servers')
        environment = platform_helpers.make_environment()
        self.hub = FeedHub(
            environment=environment,
            network=_Network('w', receivers),
            views=[self.source],
            watch=_DirectStatus(),
        )
        self.follower = FeedFollower(
            environment=environment, network=_Network('f', receivers), views=[self.view]
        )
        _list(self.source, *source_objects, number=20)

    async def play(self, change):
        tasks = [asyncio.create_task(self.hub.run()), asyncio.create_task(self._follow())]
        await asyncio.sleep(2)
        assert self.follower.is_current()
        self.view.apply_events([ObjectEvent(stored=_stored('other', number=30), is_removal=False)])
        await change(self)
        for task in tasks:
            task.cancel()

    async def _follow(self):
        while True:
            await self.follower.follow(['w'])
            await asyncio.sleep(0.2)


def _play(context, change):
    async def run():
        pair = SourceAndFollower(context.source_objects)
        await pair.play(change)

    run_virtual(run())


@given('a source that has {objects}, and a follower that has another object too')
def step_pair(context, objects):
    context.source_objects = (_stored('one', number=5),) if objects == 'one object' else ()


@when('the source lists the store, which came back older')
def step_new_era(context):
    async def change(pair):
        objects = [_stored(each.name, era=2, number=5) for each in context.source_objects]
        _list(pair.source, *objects, era=2, number=10)
        await asyncio.sleep(1)
        context.found = (sorted(pair.source.objects_by_name), sorted(pair.view.objects_by_name))

    _play(context, change)


@then('the follower has what the source has')
def step_same_objects(context):
    at_source, at_follower = context.found
    assert at_follower == at_source, context.found


@when('the follower learns of a new era before the source')
def step_ahead(context):
    async def change(pair):
        _list(pair.view, era=2, number=10)
        await asyncio.sleep(1)
        context.found = [pair.follower.is_current()]
        _list(pair.source, era=2, number=10)
        await asyncio.sleep(1)
        context.found.append(pair.follower.is_current())

    _play(context, change)


@then('the source is not current for it until the source has listed the store')
def step_not_current(context):
    assert context.found == [False, True], context.found


@when('the source finds the object removed in a listing, and the follower gets an older change')
def step_late_report(context):
    async def change(pair):
        _list(pair.source, number=40)
        await asyncio.sleep(1)
        late = ObjectEvent(stored=_stored('one', number=35), is_removal=False)
        pair.view.apply_events([late])
        context.found = sorted(pair.view.objects_by_name)

    _play(context, change)


@then('the follower does not have the object')
def step_no_object(context):
    assert 'one' not in context.found, context.found
