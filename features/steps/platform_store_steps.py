"""Steps of platform_store.feature."""

import asyncio
import time
from unittest import mock

from behave import given, then, when
from platform_helpers import make_environment, run_real

from balsamrail.catalog.revision import Revision
from balsamrail.errors import (
    HistoryGoneError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from balsamrail.platform.host_registry import HostRegistry
from balsamrail.platform.object_store import ObjectStore
from balsamrail.store import ListedHost
from standins.platform_store import PlatformStore

KIND = 'things'


@given("the stand-in of the platform's store")
def step_store(context):
    pass


def _run_with_store(context, scenario, *, timeout_s=2):
    async def run():
        context.standin = PlatformStore()
        await context.standin.start()
        environment = make_environment(store_address=context.standin.address, timeout_s=timeout_s)
        context.store = ObjectStore(environment=environment)
        await scenario(context.store, context.standin)
        context.store.close()
        await context.standin.stop()

    run_real(run())


async def _error_of(call):
    try:
        await call
    except Exception as error:
        return type(error)
    return None


async def _names(store):
    listing = await store.list_objects(KIND)
    return {stored.name: stored.spec for stored in listing.objects}


@when('an object is created, replaced at its revision and removed')
def step_write(context):
    async def scenario(store, standin):
        first = await store.create(KIND, 'a/b', spec=1)
        seen = [await _names(store)]
        again = await _error_of(store.create(KIND, 'a/b', spec=1))
        second = await store.replace(KIND, 'a/b', spec=2, revision=first.revision)
        seen.append(await _names(store))
        late = await _error_of(store.replace(KIND, 'a/b', spec=3, revision=first.revision))
        early = await _error_of(store.delete(KIND, 'a/b', revision=first.revision))
        await store.delete(KIND, 'a/b', revision=second.revision)
        await store.delete(KIND, 'a/b', revision=second.revision)
        seen.append(await _names(store))
        context.seen = seen
        context.conflicts = [again, late, early]

    _run_with_store(context, scenario)


@then('a listing shows each step, and each repeated or outdated step is a conflict')
def step_seen(context):
    assert context.seen == [{'a/b': 1}, {'a/b': 2}, {}], context.seen
    assert context.conflicts == [StoreConflictError] * 3, context.conflicts


@when('1,203 objects are listed')
def step_list(context):
    async def scenario(store, standin):
        for number in range(1_203):
            standin.put(KIND, f'n-{number}', number)
        context.names = await _names(store)

    _run_with_store(context, scenario)


@then('all are found')
def step_all(context):
    assert len(context.names) == 1_203, len(context.names)


@when('a kind is watched while an object is written, removed and then left alone')
def step_watch(context):
    async def scenario(store, standin):
        revision = (await store.list_objects(KIND)).revision
        context.events = []
        for change in (lambda: standin.put(KIND, 'x', 1), lambda: standin.remove(KIND, 'x'), None):
            if change is not None:
                asyncio.get_running_loop().call_later(0.05, change)
            answer = await store.watch(KIND, revision=revision, wait_s=0.3)
            revision = answer.revision
            context.events.append([(e.stored.name, e.is_removal) for e in answer.events])

    _run_with_store(context, scenario)


@then('the watch returns the write, the removal and nothing, in this order')
def step_events(context):
    assert context.events == [[('x', False)], [('x', True)], []], context.events


@when('the store discards its history and a watch continues from an older revision')
def step_forget(context):
    async def scenario(store, standin):
        standin.put(KIND, 'x', 1)
        revision = (await store.list_objects(KIND)).revision
        standin.put(KIND, 'x', 2)
        standin.forget()
        context.error = await _error_of(store.watch(KIND, revision=revision, wait_s=1))

    _run_with_store(context, scenario)


@then('the watch raises HistoryGoneError')
def step_history_gone(context):
    assert context.error is HistoryGoneError, context.error


@when('the store is busy, resets connections or loses the answers of writes')
def step_faults(context):
    async def scenario(store, standin):
        context.errors = {}
        for mode in ('busy', 'reset', 'losing'):
            standin.mode, standin.losing = (mode, False) if mode != 'losing' else ('up', True)
            read = await _error_of(store.list_objects(KIND))
            write = await _error_of(store.create(KIND, mode, spec=1))
            context.errors[mode] = (read, write)
        standin.losing = False
        context.names = await _names(store)

    _run_with_store(context, scenario)


@then(
    'reads raise StoreUnavailableError, refused writes too, and lost writes '
    'StoreOutcomeUnknownError'
)
def step_errors(context):
    assert context.errors == {
        'busy': (StoreUnavailableError, StoreUnavailableError),
        'reset': (StoreUnavailableError, StoreOutcomeUnknownError),
        'losing': (None, StoreOutcomeUnknownError),
    }, context.errors
    assert set(context.names) == {'losing'}, context.names


@when('the store does not respond')
def step_silent(context):
    async def scenario(store, standin):
        standin.mode = 'silent'
        started = time.monotonic()
        context.error = await _error_of(store.list_objects(KIND))
        context.took_s = time.monotonic() - started

    _run_with_store(context, scenario, timeout_s=0.4)


@then('a read raises StoreUnavailableError within the timeout of the settings')
def step_timed_out(context):
    assert context.error is StoreUnavailableError, context.error
    assert context.took_s < 0.6, context.took_s


@when('a host starts for the first time, restarts, and restarts with another address')
def step_register(context):
    starts = (('10.0.0.1:1', True), ('10.0.0.1:1', False), ('10.0.0.2:1', False))

    async def scenario(store, standin):
        context.calls = []
        for address, is_first_start in starts:
            environment = make_environment(
                store_address=standin.address, is_first_start=is_first_start
            )
            registry = HostRegistry(environment=environment, store=store)
            standin.calls.clear()
            await registry.announce_host(
                ListedHost(host='attiki-1', address=address, state='live')
            )
            context.calls.append([_kind_of(*call) for call in standin.calls])
        context.listed = await registry.list_hosts()

    _run_with_store(context, scenario)


def _kind_of(method, uri):
    if method != 'GET':
        return 'write'
    return 'stale read' if uri.endswith('?allowStale=1') else 'read'


@then('it makes 1 write, 1 stale read, and 1 stale read and 2 writes')
def step_calls(context):
    expected = [['write'], ['stale read'], ['stale read', 'write', 'write']]
    assert context.calls == expected, context.calls


@then('its entry has the new address')
def step_entry(context):
    assert [(each.host, each.address) for each in context.listed] == [('attiki-1', '10.0.0.2:1')]


@when('an object of the first page is replaced and one is removed while the second page is read')
def step_change_between_pages(context):
    async def scenario(store, standin):
        for number in range(600):
            standin.put(KIND, f'i-{number:04}', number)
        call = ObjectStore._call

        async def change_after(store, method, path, **fields):
            answer = await call(store, method, path, **fields)
            if 'after=' not in path:
                standin.put(KIND, 'i-0001', 'changed')
                standin.remove(KIND, 'i-0002')
            return answer

        with mock.patch.object(ObjectStore, '_call', change_after):
            listing = await store.list_objects(KIND)
        answer = await store.watch(KIND, revision=listing.revision, wait_s=0.1)
        context.changes = [(event.stored.name, event.is_removal) for event in answer.events]

    _run_with_store(context, scenario)


@then('a watch from the revision of the listing returns both changes')
def step_both_changes(context):
    assert context.changes == [('i-0001', False), ('i-0002', True)], context.changes


@when('the stand-in comes back from a copy between two writes, and a watch continues')
def step_restore(context):
    async def scenario(store, standin):
        context.eras = []
        call = ObjectStore._call

        async def record_era(store, *arguments, **fields):
            answer = await call(store, *arguments, **fields)
            context.eras.append(answer.headers['Store-Era'])
            return answer

        with mock.patch.object(ObjectStore, '_call', record_era):
            standin.put(KIND, 'x', 1)
            contents = standin.copy_contents()
            lost = await store.create(KIND, 'y', spec=1)
            standin.restore(contents)
            context.names = await _names(store)
            context.error = await _error_of(store.watch(KIND, revision=lost.revision, wait_s=1))
            again = await store.create(KIND, 'z', spec=1)
            context.missing = await store.read(KIND, 'y')
        context.revisions = (lost.revision, again.revision)
        standin.mode = 'busy'
        reader, writer = await asyncio.open_connection(*standin.address.split(':'))
        writer.write(b'GET /balsamrail/objects/x HTTP/1.1\r\nHost: a\r\n\r\n')
        context.refusal = await reader.readuntil(b'\r\n\r\n')
        writer.close()

    _run_with_store(context, scenario)


@then(
    'revisions go back and are given out again, and a watch from one that was lost raises'
    ' HistoryGoneError'
)
def step_given_out_again(context):
    assert context.names == {'x': 1}, context.names
    assert context.missing is None
    assert context.revisions == (
        Revision(era=1, number=3),
        Revision(era=2, number=3),
    ), context.revisions
    assert context.error is HistoryGoneError, context.error


@then('every answer has the era, which has risen by one')
def step_era(context):
    assert context.eras == ['1', '2', '2', '2', '2'], context.eras
    assert b'\r\nStore-Era: 2\r\n' in context.refusal, context.refusal


@when('the store comes back from a copy while the second page is read')
def step_restore_between_pages(context):
    async def scenario(store, standin):
        for number in range(600):
            standin.put(KIND, f'i-{number:04}', number)
        contents = standin.copy_contents()
        call = ObjectStore._call

        async def restore_after(store, method, path, **fields):
            answer = await call(store, method, path, **fields)
            if 'after=' not in path:
                standin.restore(contents)
            return answer

        with mock.patch.object(ObjectStore, '_call', restore_after):
            context.error = await _error_of(store.list_objects(KIND))

    _run_with_store(context, scenario)


@then('the listing raises StoreError')
def step_mixed_listing(context):
    assert context.error is StoreError, context.error


@when('answers of the store have no era or one that is not a number')
def step_no_era(context):
    async def scenario(store, standin):
        context.revisions = []
        for era in ('', '-1', '1.5', '9' * 40):
            standin.era = era
            context.revisions.append((await store.list_objects(KIND)).revision)

    _run_with_store(context, scenario)


@then('the revisions have the era 0')
def step_era_zero(context):
    assert context.revisions == [Revision(era=0, number=1)] * 4, context.revisions
