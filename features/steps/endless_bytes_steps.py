"""Steps of endless_bytes.feature, with senders in threads of their own."""

import asyncio
import tracemalloc

import platform_helpers
from behave import then, when
from delivery_parts import Delivery, answer_to
from flood_server import FLOODS, FloodServer
from hypothesis import given, strategies
from tornado.httputil import HTTPHeaders, ResponseStartLine

from balsamrail.configuration import Target
from balsamrail.delivery.reviver import Reviver
from balsamrail.errors import ExchangeError, RequestError, StoreUnavailableError
from balsamrail.exchange.answer_memory import AnswerMemory
from balsamrail.exchange.answer_parts import AnswerParts
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.upstream_request import UpstreamRequest
from balsamrail.metrics import Metrics
from balsamrail.platform.object_store import ObjectStore
from balsamrail.platform.target_protocol import TargetProtocol
from balsamrail.store import HttpStore

_MB = 1_000_000
# Between one request of the steady caller and the next.
_PAUSE_S = 0.02
_LOOK_S = 0.01


def flood_of(kind, pace):
    prefix, repeated = FLOODS[kind]
    return FloodServer(prefix, repeated, is_dripping=pace == 'byte by byte')


async def until(holds, *, limit_s):
    for _ in range(int(limit_s / _LOOK_S)):
        if holds():
            return True
        await asyncio.sleep(_LOOK_S)
    return holds()


async def timed(awaitable):
    """Return the outcome of a request, an error included, and the seconds that it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        outcome = await awaitable
    except (RequestError, ExchangeError, AttemptError, StoreUnavailableError) as error:
        outcome = error
    return outcome, loop.time() - began


class Floods(Delivery):
    """Targets that send without end, and after them one that answers with ``body``."""

    def __init__(self, floods, *, body=b'whole', **settings):
        async def answer(number, headers, writer):
            writer.write(answer_to(headers, body))

        super().__init__([answer], **settings)
        self.floods = floods

    async def start(self):
        for flood in self.floods:
            self.targets.append(await flood.start())
        return await super().start()

    def ask(self, number, request_id, **fields):
        """Send a request that may not be repeated and prefers target ``number``."""
        key = self.key_that_prefers(f'i-{number}')
        return timed(self.send(request_id, path='/write/x', key=key, **fields))

    async def ask_again_and_again(self, number):
        """Return status and length of the answers of target ``number``, and the seconds of each.

        The requests pass by the choice of a target, which may prefer another one.
        """
        state = self.book.states_by_id[f'i-{number}']
        answers = []
        while not self.is_over:
            sending = self.exchange.send(
                self.request(f'steady-{len(answers)}', '/read/x', 'x', 2),
                state,
                route='r1',
                object_key='x',
                is_fresh=False,
                deadline=asyncio.get_running_loop().time() + 2,
                confirm=lambda: None,
            )
            answer, took_s = await timed(sending)
            assert not isinstance(answer, Exception), answer
            answers.append((answer.http.status, len(answer.http.body), took_s))
            await asyncio.sleep(_PAUSE_S)
        return answers


@when('a target sends {kind} without end, {pace}, to a caller with {patience:g} s')
def step_flood(context, kind, pace, patience):
    flood = flood_of(kind, pace)

    async def main():
        # A small host, so that a body is cut off long before the deadline on a busy machine.
        host = await Floods([flood], memory_mb=40).start()
        host.is_over = False
        try:
            steady = asyncio.create_task(host.ask_again_and_again(1))
            context.told, context.took_s = await host.ask(0, 'flooded', patience_s=patience)
            context.is_closed = await until(lambda: flood.closed == 1, limit_s=0.5)
            host.is_over = True
            context.steady = await steady
        finally:
            host.stop()
        context.host = host

    platform_helpers.run_real(main())
    context.flood = flood


@then('that caller is told {status:d} within {limit:g} s')
def step_told(context, status, limit):
    assert isinstance(context.told, RequestError), context.told
    assert context.told.status == status, (context.told.status, context.told)
    assert context.told.outcome == 'unknown'
    assert context.took_s < limit, context.took_s


@then('the target has one failure and sees its connection closed')
def step_failed(context):
    assert context.is_closed, (context.flood.connections, context.flood.closed)
    assert context.flood.connections == 1, context.flood.connections
    failures = [line for line in context.host.log.lines if 'event=attempt_failed' in line]
    assert len(failures) == 1 and 'failures=1' in failures[0], failures
    assert context.host.book.states_by_id['i-0'].failures == 1
    print(*failures)


@then('another caller was answered all the time')
def step_steady(context):
    assert context.steady
    for status, length, took_s in context.steady:
        assert status == 200 and length == len(b'whole')
        assert took_s < 1, took_s


@when('a target sends a whole answer and then bytes without end, {pace}, after {pause:g} s')
def step_beyond(context, pace, pause):
    flood = FloodServer(
        answer_to, b'HTTP/1.1 200 OK\r\n', is_dripping=pace == 'byte by byte', pause_s=pause
    )

    async def main():
        host = await Floods([flood]).start()
        try:
            context.told, _ = await host.ask(0, 'first')
            context.is_closed = await until(lambda: flood.closed == 1, limit_s=0.5 + pause)
        finally:
            host.stop()
        context.host = host

    platform_helpers.run_real(main())
    context.flood = flood


@then('the caller has exactly the promised answer')
def step_promised(context):
    assert context.told.body == b'whole', context.told


@then('the target sees the connection closed within 0.5 s without another request')
def step_closed_idle(context):
    assert context.is_closed
    assert len(context.flood.heads) == 1


@then("the host counted stray bytes once and named the target's address in its log")
def step_stray(context):
    assert context.host.environment.metrics.counter('connections_with_stray_bytes') == 1
    found = [line for line in context.host.log.lines if 'event=stray_bytes' in line]
    assert len(found) == 1 and context.flood.address in found[0], found
    print(*found)


@when('{count:d} targets send bodies without end to a host of {memory:d} MB while a ninth {rest}')
def step_many(context, count, memory, rest):
    kinds = ['a chunked body', 'a body without a length']
    floods = [flood_of(kinds[number % 2], 'at once') for number in range(count)]

    async def main():
        host = await Floods(floods, body=b'x' * _MB, memory_mb=memory).start()
        host.is_over = False
        tracemalloc.start()
        try:
            steady = asyncio.create_task(host.ask_again_and_again(count))
            context.ends = await asyncio.gather(
                *(host.ask(number, f'flooded-{number}', patience_s=8) for number in range(count))
            )
            host.is_over = True
            context.steady = await steady
            context.peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            host.stop()
        context.host = host

    platform_helpers.run_real(main(), limit_s=60)


@then('no more than {limit:d} MB of answers are buffered at any time')
def step_peak(context, limit):
    # A growing body takes an eighth more than its length; besides, each connection has a block
    # that is being read, and each sender one that is being sent.
    allowed = limit * _MB * 1.125 + 10 * 4 * 65_536 + 4 * _MB
    print(f'peak of {context.peak_bytes} bytes, {allowed:.0f} allowed')
    assert context.peak_bytes <= allowed, (context.peak_bytes, allowed)


@then("the ninth target's answers are complete and the endless ones cut off or given up")
def step_ninth(context):
    print(f'{len(context.steady)} complete answers of the ninth target')
    assert context.steady
    for status, length, _ in context.steady:
        assert status == 200 and length == _MB
    # The last one may reach its deadline before it is cut off; both are told as unknown.
    assert {told.status for told, _ in context.ends} <= {502, 504}, context.ends
    assert all(told.outcome == 'unknown' for told, _ in context.ends)
    assert context.host.environment.metrics.counter('answers_cut_off') >= 7


@when('a target sends a chunked body without end to a request that may be repeated')
def step_repeatable(context):
    flood = flood_of('a chunked body', 'at once')

    async def main():
        host = await Floods([flood], memory_mb=40).start()
        try:
            key = host.key_that_prefers('i-0')
            context.told, context.took_s = await timed(host.send('first', key=key))
        finally:
            host.stop()

    platform_helpers.run_real(main())
    assert flood.connections == 1


@then('its caller has the complete answer of another target within {limit:g} s')
def step_repeated(context, limit):
    assert context.told.body == b'whole', context.told
    assert context.took_s < limit, context.took_s


@when('answers are opened, received and closed in any order')
def step_account(context):
    context.cuts = 0

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['open', 'take', 'close']),
                strategies.integers(0, 2),
                strategies.integers(0, 9),
            ),
            min_size=20,
            max_size=60,
        )
    )
    def check(steps):
        memory = AnswerMemory(memory_mb=4, metrics=Metrics())
        open_by_number = {}

        def cut_of(number):
            def cut(reason):
                largest = max(each.received_bytes for each in open_by_number.values())
                assert open_by_number.pop(number).received_bytes == largest
                context.cuts += 1

            return cut

        for step, number, count in steps:
            receipt = open_by_number.get(number)
            match step:
                case 'open' if receipt is None:
                    open_by_number[number] = memory.open(abort=cut_of(number))
                case 'take' if receipt is not None:
                    memory.add_bytes(receipt, count * 100_000)
                case 'close' if receipt is not None:
                    memory.close(open_by_number.pop(number))
            counted = sum(each.received_bytes for each in open_by_number.values())
            assert memory.used_bytes == counted <= memory.limit_bytes == 1_000_000

    check()


@then('the account stays within its bound and only a largest answer is ever cut off')
def step_account_kept(context):
    # Enough for the order of cuts to matter.
    print(f'{context.cuts} answers cut off')
    assert context.cuts >= 50, context.cuts


@when('a body arrives in {count:d} pieces of {size:d} bytes')
def step_pieces(context, count, size):
    tracemalloc.start()
    parts = AnswerParts(method='GET')
    parts.headers_received(ResponseStartLine('HTTP/1.1', 200, 'OK'), HTTPHeaders())
    for number in range(count):
        parts.data_received(number.to_bytes(4)[-size:])
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert len(parts.body()) == count * size


@then('it takes less than 1 MB of memory')
def step_small(context):
    assert context.peak_bytes < _MB, context.peak_bytes


@when('a target that is down answers its health check with {kind} without end, {pace}')
def step_health(context, kind, pace):
    flood = flood_of(kind, pace)

    async def main():
        host = await Floods([flood]).start()
        state = host.book.states_by_id['i-0']
        state.note_down(check_at=0, now=0)
        reviver = Reviver(
            environment=host.environment,
            catalog=host.catalog,
            book=host.book,
            wire=TargetProtocol(),
        )
        running = asyncio.create_task(reviver.run())
        metrics = host.environment.metrics
        try:
            context.is_failed = await until(
                lambda: metrics.counter('target_probes_failed') > 0, limit_s=1.5
            )
            context.is_closed = await until(lambda: flood.closed > 0, limit_s=0.5)
        finally:
            running.cancel()
            host.stop()
        context.state = state

    platform_helpers.run_real(main())


@then('the probe fails within 1.5 s, its connection is closed and the target stays down')
def step_probe_failed(context):
    assert context.is_failed
    assert context.is_closed
    assert context.state.standing.down_since is not None


@when('the store answers a {call} with {kind} without end, {pace}')
def step_store(context, call, kind, pace):
    flood = flood_of(kind, pace)

    async def main():
        await flood.start()
        environment = platform_helpers.make_environment(store_address=flood.address, timeout_s=1.5)
        store = ObjectStore(environment=environment)
        calls = {
            'list': lambda: store.list_objects('servers'),
            'watch': lambda: store.watch('servers', revision=1, wait_s=0.1),
        }
        try:
            context.told, context.took_s = await timed(calls[call]())
            context.is_closed = await until(lambda: flood.closed == 1, limit_s=0.5)
        finally:
            store.close()
            flood.stop()

    platform_helpers.run_real(main())


@then('the call fails as unavailable within 2 s and its connection is closed')
def step_store_failed(context):
    assert isinstance(context.told, StoreUnavailableError), context.told
    assert context.took_s < 2, context.took_s
    assert context.is_closed


async def ask_node(pool, environment, flood):
    target = Target(address=flood.address, availability_zone='attiki-a', slots=4, connections=4)
    upstream_request = UpstreamRequest(method='GET', path='/', body=b'', expected_request_id=None)
    upstream_request.headers['Host'] = 'upstream'
    deadline = environment.clock.monotonic() + 1
    return await timed(
        pool.exchange(
            target=target, upstream_request=upstream_request, deadline=deadline, fresh=False
        )
    )


@when('an upstream of a node sends {kind} without end, {pace}')
def step_node(context, kind, pace):
    flood = flood_of(kind, pace)

    async def main():
        await flood.start()
        environment = platform_helpers.make_environment()
        pool = ConnectionPool(environment=environment)
        try:
            context.told, context.took_s = await ask_node(pool, environment, flood)
            context.is_closed = await until(lambda: flood.closed == 1, limit_s=0.5)
        finally:
            pool.close()
            flood.stop()

    platform_helpers.run_real(main())


@then('the attempt fails within 1.5 s as one that may have run, and its connection is closed')
def step_node_failed(context):
    assert isinstance(context.told, AttemptError), context.told
    assert context.told.may_have_run
    assert context.took_s < 1.5, context.took_s
    assert context.is_closed


@when('the store of a node answers a read with {kind} without end, {pace}')
def step_node_store(context, kind, pace):
    flood = flood_of(kind, pace)

    async def main():
        await flood.start()
        environment = platform_helpers.make_environment(store_address=flood.address, timeout_s=3)
        store = HttpStore(environment=environment)
        tracemalloc.start()
        try:
            context.told, context.took_s = await timed(store.read('name'))
            context.is_closed = await until(lambda: flood.closed == 1, limit_s=0.5)
            context.peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            flood.stop()

    platform_helpers.run_real(main())


@then(
    'the read fails as unavailable within {limit:g} s, with less than {memory:d} MB buffered, '
    'and its connection is closed'
)
def step_node_store_failed(context, limit, memory):
    assert isinstance(context.told, StoreUnavailableError), context.told
    assert context.took_s < limit, context.took_s
    assert context.peak_bytes < memory * _MB, context.peak_bytes
    assert context.is_closed


@when('{count:d} upstreams send bodies without end to a node of {memory:d} MB')
def step_many_node(context, count, memory):
    floods = [flood_of('a chunked body', 'at once') for _ in range(count)]

    async def main():
        for flood in floods:
            await flood.start()
        environment = platform_helpers.make_environment(memory_mb=memory)
        pool = ConnectionPool(environment=environment)
        tracemalloc.start()
        try:
            ends = await asyncio.gather(*(ask_node(pool, environment, flood) for flood in floods))
            context.peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            pool.close()
            for flood in floods:
                flood.stop()
        assert all(isinstance(told, AttemptError) for told, _ in ends), ends

    platform_helpers.run_real(main(), limit_s=30)
