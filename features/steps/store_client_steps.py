"""Steps of store_client.feature."""

import asyncio
import json

from behave import given, then, when
from platform_helpers import make_environment, run_real
from tornado.httpclient import AsyncHTTPClient

from balsamrail.errors import (
    BalsamrailError,
    HistoryGoneError,
    StoreConflictError,
    StoreError,
)
from balsamrail.store import HttpStore, ListedHost
from standins.store import StoreStandIn

NAME = 'blocks/0 é'
VALUE = {'a': 'é'}


async def with_store(main, *, fault='none', **options):
    stand_in = StoreStandIn(**({'writes_per_s': 0, 'reads_per_s': 0} if fault == 'rate' else {}))
    await stand_in.start()
    store = HttpStore(
        environment=make_environment(store_address=stand_in.address, timeout_s=0.2, **options)
    )
    match fault:
        case 'refused':
            await stand_in.stop()
        case 'lost answer':
            stand_in.faults.lose_answers = 1
        case 'garbled write':
            stand_in.faults.garble_answers = 1
        case 'down':
            stand_in.faults.down = True
        case 'slow':
            stand_in.faults.delay_s = 3
        case 'existing' | 'garbled':
            await store.write(NAME, value=VALUE, version=0)
            stand_in.faults.garble_answers = int(fault == 'garbled')
    try:
        return await main(store, stand_in)
    finally:
        await stand_in.stop()


@given('a store with the fault {fault}')
def step_store_fault(context, fault):
    context.fault = fault


@when('the client creates an object')
def step_create(context):
    async def main(store, stand_in):
        try:
            context.outcome = f'version {await store.write(NAME, value=VALUE, version=0)}'
        except BalsamrailError as error:
            context.outcome = type(error).__name__
        context.version = stand_in.state.objects.read(NAME)[0]

    run_real(with_store(main, fault=context.fault))


@when('the client reads an object')
def step_read_object(context):
    async def main(store, stand_in):
        try:
            found = await store.read(NAME)
            context.outcome = str(found and found.value)
        except BalsamrailError as error:
            context.outcome = type(error).__name__

    run_real(with_store(main, fault=context.fault))


@then('the write ends with {outcome}')
@then('the read ends with {outcome}')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then('the store holds {writes:d} write')
def step_writes(context, writes):
    assert context.version == writes, context.version


@then('a watch returns a change that is made while it waits, with a single call')
def step_watch(context):
    async def main(store, stand_in):
        await store.write(NAME, value=1, version=0)
        watch = asyncio.create_task(store.watch(NAME, version=1))
        await asyncio.sleep(0.4)
        assert not watch.done()
        await store.write(NAME, value=2, version=1)
        found = await watch
        assert (found.version, found.value) == (2, 2), found
        assert stand_in.calls('watch') == 1, stand_in.state.calls_by_kind

    run_real(with_store(main))


@then('a watch without a change returns nothing after its timeout')
def step_watch_idle(context):
    async def main(store, stand_in):
        started_at = asyncio.get_running_loop().time()
        assert await store.watch('absent', version=0) is None
        assert 0.9 < asyncio.get_running_loop().time() - started_at < 2

    run_real(with_store(main, watch_s=1))


@then('objects are listed by prefix and hosts with the configured delay')
def step_lists(context):
    async def main(store, stand_in):
        await store.write('shares/a', value=1, version=0)
        await store.write('shares/a', value=2, version=1)
        await store.write('record', value=1, version=0)
        assert await store.list_names(prefix='shares/') == {'shares/a': 2}
        listed = ListedHost(host='h1', address='127.0.0.1:9', state='live')
        await store.announce_host(listed)
        assert await store.list_hosts() == [listed]
        stand_in.faults.list_lag_s = 5
        assert await store.list_hosts() == []

    run_real(with_store(main))


@then('a value of {fits:d} bytes is read back and one of {exceeds:d} bytes is rejected')
def step_sizes(context, fits, exceeds):
    async def main(store, stand_in):
        await store.write(NAME, value='x' * (fits - 2), version=0)
        found = await store.read(NAME)
        assert found.value == 'x' * (fits - 2)
        try:
            await store.write(NAME, value='x' * (exceeds - 2), version=1)
        except StoreError as error:
            assert type(error) is StoreError, error
        else:
            raise AssertionError('the store accepted a value that is too large')

    run_real(with_store(main))


async def call(stand_in, path, **options):
    response = await AsyncHTTPClient().fetch(
        f'http://{stand_in.address}{path}', raise_error=False, **options
    )
    return response.code, response.headers.get('Store-Era'), response.body


@then('a stand-in that comes back from a copy twice loses later writes and raises its era')
def step_copy(context):
    async def put(stand_in, body, **headers):
        return await call(stand_in, '/objects/x', method='PUT', body=body, headers=headers)

    async def main(store, stand_in):
        assert (await call(stand_in, '/copy', method='POST', body=''))[0] == 409
        await store.write('x', value=1, version=0)
        await call(stand_in, '/copy', method='PUT', body='')
        listed = ListedHost(host='h1', address='127.0.0.1:9', state='live')
        for era in ('1', '2'):
            assert (await put(stand_in, '2', **{'If-Match': '"1"'}))[0] == 200
            await store.write('y', value=2, version=0)
            await store.announce_host(listed)
            await call(stand_in, '/copy', method='POST', body='')
            code, seen_era, body = await call(stand_in, '/objects/x')
            assert (code, seen_era) == (200, era)
            assert json.loads(body) == {'name': 'x', 'version': 1, 'value': 1}
            assert (await call(stand_in, '/objects/y'))[:2] == (404, era)
            assert (await call(stand_in, '/hosts')) == (200, era, b'{"hosts": []}')
            assert (await call(stand_in, '/objects/x?watch=2'))[:2] == (410, era)
            assert (await call(stand_in, '/objects/x?watch=1&era=0'))[:2] == (410, era)
            earlier = {'If-Match': '"1"', 'Store-Era': str(int(era) - 1)}
            assert (await put(stand_in, '3', **earlier))[:2] == (412, era)

    run_real(with_store(main))


async def lose_second_write(store, stand_in):
    await store.write('x', value=1, version=0)
    stand_in.state.take_copy()
    lost = await store.write('x', value='lost', version=1)
    stand_in.state.restore()
    return lost


@then('a write on a lost version conflicts when another write was given the same version')
def step_lost_version(context):
    async def main(store, stand_in):
        lost = await lose_second_write(store, stand_in)
        copied = await store.read('x')
        assert await store.write('x', value='other', version=copied.version)
        try:
            await store.write('x', value='late', version=lost)
        except StoreConflictError:
            pass
        else:
            raise AssertionError('a write on a lost version took effect')
        assert (await store.read('x')).value == 'other'

    run_real(with_store(main))


@then('the versions that are read, written and listed are higher after the store came back')
def step_higher_versions(context):
    async def main(store, stand_in):
        lost = await lose_second_write(store, stand_in)
        copied = await store.read('x')
        assert copied.version > lost
        assert store.era.number == 1, store.era
        assert await store.list_names(prefix='x') == {'x': copied.version}
        assert await store.write('x', value=3, version=copied.version) == copied.version + 1

    run_real(with_store(main))


@then('a watch from a lost version ends at once, also when its number was given out again')
def step_lost_watch(context):
    async def main(store, stand_in):
        lost = await lose_second_write(store, stand_in)
        for given_out in (1, 2):
            assert (await store.read('x')).version % 2**32 == given_out
            try:
                async with asyncio.timeout(1):
                    await store.watch('x', version=lost)
            except HistoryGoneError:
                pass
            else:
                raise AssertionError('the watch went on')
            found = await store.watch('x', version=0)
            await store.write('x', value=given_out, version=found.version)

    run_real(with_store(main))
