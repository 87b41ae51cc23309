"""Steps of endless_bytes.feature, with the senders in separate threads."""

import asyncio
import tracemalloc

import platform_helpers
from behave import then, when
from delivery_parts import DeliveryHarness, response_to
from flood_server import FLOODS, FloodServer
from hypothesis import given, strategies
from placement_parts import make_route
from tornado.httputil import HTTPHeaders, ResponseStartLine

from balsamrail.catalog.revision import Revision
from balsamrail.configuration import Target
from balsamrail.errors import ExchangeError, RequestError, StoreUnavailableError
from balsamrail.exchange.response_buffer import ResponseBuffer
from balsamrail.exchange.response_memory_limiter import ResponseMemoryLimiter
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.upstream_request import UpstreamRequest
from balsamrail.metrics import Metrics
from balsamrail.platform.object_store import ObjectStore
from balsamrail.store import HttpStore

_MB = 1_000_000
# Pause between the requests of the steady caller.
_PAUSE_S = 0.02
_POLL_INTERVAL_S = 0.01


def flood_of(kind, pace):
    prefix, repeated = FLOODS[kind]
    return FloodServer(prefix, repeated, is_byte_by_byte=pace == 'byte by byte')


async def wait_until(holds, *, limit_s):
    for _ in range(int(limit_s / _POLL_INTERVAL_S)):
        if holds():
            return True
        await asyncio.sleep(_POLL_INTERVAL_S)
    return holds()


async def timed(awaitable):
    """Return the result or the error of a request, and its duration in seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        outcome = await awaitable
    except (RequestError, ExchangeError, AttemptError, StoreUnavailableError) as error:
        outcome = error
    return outcome, loop.time() - began


class FloodedHost(DeliveryHarness):
    """Targets that send without end, followed by one that responds with ``body``."""

    def __init__(self, floods, *, body=b'whole', **settings):
        async def answer(number, headers, writer):
            writer.write(response_to(headers, body))

        super().__init__([answer], **settings)
        self.floods = floods

    async def start(self):
        for flood in self.floods:
            self.targets.append(await flood.start())
        return await super().start()

    def send_to_target(self, number, request_id, **fields):
        """Send a non-idempotent request whose preferred target is ``number``."""
        key = self.key_that_prefers(f'i-{number}')
        return timed(self.send(request_id, path='/write/x', key=key, **fields))

    async def send_repeatedly(self, number):
        """Return status, length and duration of each response of target ``number``.

        The requests bypass the target selection, which may prefer another target.
        """
        state = self.target_registry.states_by_id[f'i-{number}']
        answers = []
        while not self.is_over:
            sending = self.exchange.send(
                self.request(f'steady-{len(answers)}', '/read/x', 'x', 2),
                state,
                route=make_route(),
                object_key='x',
                fresh_only=False,
                deadline=asyncio.get_running_loop().time() + 2,
                recheck=lambda: None,
            )
            answer, took_s = await timed(sending)
            assert not isinstance(answer, Exception), answer
            answers.append((answer.http.status, len(answer.http.body), took_s))
            await asyncio.sleep(_PAUSE_S)
        return answers


@when('a target sends {kind} without end, {pace}, to a caller with a timeout of {patience:g} s')
def step_flood(context, kind, pace, patience):
    flood = flood_of(kind, pace)

    async def main():
        # A low memory limit, so that a body is aborted long before the deadline on a busy machine.
        host = await FloodedHost([flood], memory_mb=40).start()
        host.is_over = False
        try:
            steady = asyncio.create_task(host.send_repeatedly(1))
            context.result, context.took_s = await host.send_to_target(
                0, 'flooded', caller_timeout_s=patience
            )
            context.is_closed = await wait_until(lambda: flood.closed == 1, limit_s=0.5)
            host.is_over = True
            context.steady = await steady
        finally:
            host.stop()
        context.host = host

    platform_helpers.run_real(main())
    context.flood = flood


@then('that caller gets the status {status:d} within {limit:g} s')
def step_told(context, status, limit):
    assert isinstance(context.result, RequestError), context.result
    assert context.result.status == status, (context.result.status, context.result)
    assert context.result.outcome == 'unknown'
    assert context.took_s < limit, context.took_s


@then('the target has one recorded failure and its connection is closed')
def step_failed(context):
    assert context.is_closed, (context.flood.connections, context.flood.closed)
    assert context.flood.connections == 1, context.flood.connections
    failures = [line for line in context.host.log.lines if 'event=attempt_failed' in line]
    assert len(failures) == 1 and 'failures=1' in failures[0], failures
    assert context.host.target_registry.states_by_id['i-0'].failures == 1
    print(*failures)


@then('another caller gets responses throughout')
def step_steady(context):
    assert context.steady
    for status, length, took_s in context.steady:
        assert status == 200 and length == len(b'whole')
        assert took_s < 1, took_s


@when('a target sends a complete response and then bytes without end, {pace}, after {pause:g} s')
def step_beyond(context, pace, pause):
    flood = FloodServer(
        response_to, b'HTTP/1.1 200 OK\r\n', is_byte_by_byte=pace == 'byte by byte', pause_s=pause
    )

    async def main():
        host = await FloodedHost([flood]).start()
        try:
            context.result, _ = await host.send_to_target(0, 'first')
            context.is_closed = await wait_until(lambda: flood.closed == 1, limit_s=0.5 + pause)
        finally:
            host.stop()
        context.host = host

    platform_helpers.run_real(main())
    context.flood = flood


@when('a target sends a complete response and further bytes in one segment')
def step_segment(context):
    async def answer(number, headers, writer):
        writer.write(response_to(headers) + b'HTTP/1.1 200 OK\r\n')

    async def main():
        host = await DeliveryHarness([answer]).start()
        [target] = host.targets
        try:
            context.result = await host.send('first')
            context.is_closed = await wait_until(lambda: not target.open_count, limit_s=0.5)
        finally:
            host.stop()
        context.host = host
        context.flood = target

    platform_helpers.run_real(main())


@then('the caller gets exactly the complete response')
def step_promised(context):
    assert context.result.body == b'whole', context.result


@then('the connection to the target is closed within 0.5 s without another request')
def step_closed_idle(context):
    assert context.is_closed
    assert len(context.flood.heads) == 1


@then('the host counts the stray bytes once and logs the address of the target')
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
        host = await FloodedHost(floods, body=b'x' * _MB, memory_mb=memory).start()
        host.is_over = False
        tracemalloc.start()
        try:
            steady = asyncio.create_task(host.send_repeatedly(count))
            context.ends = await asyncio.gather(
                *(
                    host.send_to_target(number, f'flooded-{number}', caller_timeout_s=8)
                    for number in range(count)
                )
            )
            host.is_over = True
            context.steady = await steady
            context.peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            host.stop()
        context.host = host

    platform_helpers.run_real(main(), limit_s=60)


@then('at most {limit:d} MB of responses are buffered at any time')
def step_peak(context, limit):
    # A growing body allocates an eighth more than its length. Each connection also has a block
    # that is being read, and each sender has a block that is being sent.
    allowed = limit * _MB * 1.125 + 10 * 4 * 65_536 + 4 * _MB
    print(f'peak of {context.peak_bytes} bytes, {allowed:.0f} allowed')
    assert context.peak_bytes <= allowed, (context.peak_bytes, allowed)


@then(
    'the responses of the ninth target are complete and the endless ones are aborted or time out'
)
def step_ninth(context):
    print(f'{len(context.steady)} complete responses of the ninth target')
    assert context.steady
    for status, length, _ in context.steady:
        assert status == 200 and length == _MB
    # The last one may reach its deadline before it is aborted; both give an unknown outcome.
    assert {result.status for result, _ in context.ends} <= {502, 504}, context.ends
    assert all(result.outcome == 'unknown' for result, _ in context.ends)
    assert context.host.environment.metrics.counter('answers_cut_off') >= 7, (
        context.ends,
        context.host.environment.metrics.counter('answers_cut_off'),
    )


@when('a target sends a chunked body without end to an idempotent request')
def step_repeatable(context):
    flood = flood_of('a chunked body', 'at once')

    async def main():
        host = await FloodedHost([flood], memory_mb=40).start()
        try:
            key = host.key_that_prefers('i-0')
            context.result, context.took_s = await timed(host.send('first', key=key))
        finally:
            host.stop()

    platform_helpers.run_real(main())
    assert flood.connections == 1


@then('the caller gets the complete response of another target within {limit:g} s')
def step_repeated(context, limit):
    assert context.result.body == b'whole', context.result
    assert context.took_s < limit, context.took_s


@when('responses are opened, received and closed in any order')
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
        memory = ResponseMemoryLimiter(memory_mb=4, metrics=Metrics())
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


@then('the accounted memory stays within its limit and only a largest response is ever aborted')
def step_account_kept(context):
    # Enough aborted responses for their order to matter.
    print(f'{context.cuts} responses aborted')
    assert context.cuts >= 50, context.cuts


@when('a body arrives in {count:d} pieces of {size:d} bytes')
def step_pieces(context, count, size):
    tracemalloc.start()
    parts = ResponseBuffer(method='GET')
    parts.headers_received(ResponseStartLine('HTTP/1.1', 200, 'OK'), HTTPHeaders())
    for number in range(count):
        parts.data_received(number.to_bytes(4)[-size:])
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert len(parts.body()) == count * size


@then('the body takes less than 1 MB of memory')
def step_small(context):
    assert context.peak_bytes < _MB, context.peak_bytes


@when('a target that is down responds to its health check with {kind} without end, {pace}')
def step_health(context, kind, pace):
    flood = flood_of(kind, pace)

    async def main():
        host = await FloodedHost([flood]).start()
        state = host.target_registry.states_by_id['i-0']
        state.note_down(check_at=0, now=0)
        health_checker = host.make_health_checker()
        running = asyncio.create_task(health_checker.run())
        metrics = host.environment.metrics
        try:
            context.is_failed = await wait_until(
                lambda: metrics.counter('target_probes_failed') > 0, limit_s=1.5
            )
            context.is_closed = await wait_until(lambda: flood.closed > 0, limit_s=0.5)
        finally:
            running.cancel()
            host.stop()
        context.state = state

    platform_helpers.run_real(main())


@then('the probe fails within 1.5 s, its connection is closed and the target stays down')
def step_probe_failed(context):
    assert context.is_failed
    assert context.is_closed
    assert context.state.availability.down_since is not None


@when('the store responds to a {call} with {kind} without end, {pace}')
def step_store(context, call, kind, pace):
    flood = flood_of(kind, pace)

    async def main():
        await flood.start()
        environment = platform_helpers.make_environment(store_address=flood.address, timeout_s=1.5)
        store = ObjectStore(environment=environment)
        calls = {
            'list': lambda: store.list_objects('servers'),
            'watch': lambda: store.watch('servers', revision=Revision(number=1), wait_s=0.1),
        }
        try:
            context.result, context.took_s = await timed(calls[call]())
            context.is_closed = await wait_until(lambda: flood.closed == 1, limit_s=0.5)
        finally:
            store.close()
            flood.stop()

    platform_helpers.run_real(main())


@then('the call fails as unavailable within 2 s and its connection is closed')
def step_store_failed(context):
    assert isinstance(context.result, StoreUnavailableError), context.result
    assert context.took_s < 2, context.took_s
    assert context.is_closed


async def send_from_node(pool, environment, flood):
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
            context.result, context.took_s = await send_from_node(pool, environment, flood)
            context.is_closed = await wait_until(lambda: flood.closed == 1, limit_s=0.5)
        finally:
            pool.close()
            flood.stop()

    platform_helpers.run_real(main())


@then('the attempt fails within 1.5 s as one that may have run, and its connection is closed')
def step_node_failed(context):
    assert isinstance(context.result, AttemptError), context.result
    assert context.result.may_have_run
    assert context.took_s < 1.5, context.took_s
    assert context.is_closed


@when('the store of a node responds to a read with {kind} without end, {pace}')
def step_node_store(context, kind, pace):
    flood = flood_of(kind, pace)

    async def main():
        await flood.start()
        environment = platform_helpers.make_environment(store_address=flood.address, timeout_s=3)
        store = HttpStore(environment=environment)
        tracemalloc.start()
        try:
            context.result, context.took_s = await timed(store.read('name'))
            context.is_closed = await wait_until(lambda: flood.closed == 1, limit_s=0.5)
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
    assert isinstance(context.result, StoreUnavailableError), context.result
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
            ends = await asyncio.gather(
                *(send_from_node(pool, environment, flood) for flood in floods)
            )
            context.peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            pool.close()
            for flood in floods:
                flood.stop()
        assert all(isinstance(result, AttemptError) for result, _ in ends), ends

    platform_helpers.run_real(main(), limit_s=30)
