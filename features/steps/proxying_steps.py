"""Steps of proxying.feature with real sockets."""

import asyncio
import contextlib
import time

from behave import given, then, when
from delivery_parts import DeliveryHarness, response_to, simulate_power_loss
from entry_fleet import HOST_NAME, EntryFleet
from entry_steps import _play
from forwarding_parts import RawUpstream
from free_ports import free_address
from platform_helpers import make_member, run_real

from balsamrail.errors import RequestError
from balsamrail.proxying.handover import Handover

HANDOVER = 'Balsamrail-Handover'


def reply(headers, outcome, *, status=b'200 OK', code='', sent='', **more):
    text = response_to(headers, **more).replace(b'200 OK', status)
    if outcome is None:
        return text
    line = f'{HANDOVER}: outcome={outcome} code={code} sent={sent}\r\n'.encode()
    return text.replace(b'\r\n\r\n', b'\r\n' + line + b'\r\n', 1)


async def serve(number, headers, writer):
    writer.write(reply(headers, 'answered', sent='i-9'))


async def close_connection(number, headers, writer):
    raise ConnectionError


async def break_off(number, headers, writer):
    writer.write(reply(headers, 'answered')[:-2])
    await writer.drain()
    raise ConnectionError


async def answer_another(number, headers, writer):
    writer.write(reply({'x-request-id': 'another'}, 'answered'))


async def target_silent(number, headers, writer):
    writer.write(reply(headers, 'unknown', status=b'504 Late', code='outcome_unknown', sent='i-1'))


async def without_outcome(number, headers, writer):
    unsigned = response_to(headers).replace(b'X-Response-Signature: signed\r\n', b'')
    writer.write(unsigned.replace(b'200 OK', b'500 Broken'))


async def answer_as_target(number, headers, writer):
    writer.write(reply(headers, None))


async def another_protocol(number, headers, writer):
    writer.write(b'\x97\x00\xa1x')
    await writer.drain()
    raise ConnectionError


async def reaches_none(number, headers, writer):
    writer.write(reply(headers, 'not_run', status=b'503 No', code='no_target'))


async def knows_no_route(number, headers, writer):
    writer.write(reply(headers, 'refused', status=b'404 No', code='unknown_route'))


async def no_room(number, headers, writer):
    writer.write(
        reply(headers, 'not_run', status=b'503 Full', code='overloaded', Retry_After='0.2')
    )


async def say_nothing(number, headers, writer):
    await asyncio.sleep(60)


async def fail_after_two(number, headers, writer):
    writer.write(
        reply(headers, 'unknown', status=b'502 Lost', code='target_failed', sent='i-1,i-2')
    )


async def fail_late(number, headers, writer):
    await asyncio.sleep(0.3)
    writer.write(reply(headers, 'unknown', status=b'502 Lost', code='target_failed', sent='i-1'))


async def respond_by_id(number, headers, writer):
    await asyncio.sleep({'first': 0.15, 'second': 0.35}.get(headers['x-request-id'], 60))
    await serve(number, headers, writer)


def pass_on(status):
    async def write(number, headers, writer):
        writer.write(reply(headers, 'answered', status=status, sent='i-9'))

    return write


BEHAVIOURS = {
    'passes on the status 000': pass_on(b'000 Odd'),
    'passes on the status 600': pass_on(b'600 Odd'),
    'passes on the status 999': pass_on(b'999 Odd'),
    'is slow to respond': respond_by_id,
    'accepts no connection': None,
    'closes the connection': close_connection,
    'breaks off its response': break_off,
    'answers another request': answer_another,
    'got no response from its target': target_silent,
    'answers without an outcome': without_outcome,
    'answers as a target would': answer_as_target,
    'speaks another protocol': another_protocol,
    'reaches no target': reaches_none,
    'knows no such route': knows_no_route,
    'has no room': no_room,
    'says nothing': say_nothing,
    'fails after 2 attempts': fail_after_two,
    'fails after 0.3 s': fail_late,
}


class ProxyHarness:
    """A host that reaches no target, with two peers whose answers are scripted."""

    def __init__(self, *behaviours):
        self.delivery = DeliveryHarness([])
        self.behaviours = behaviours
        self.peers = []

    async def start(self):
        await self.delivery.start(first_target_refuses=True)
        # The first peer is in the zone of the host, so that it is asked first.
        for name, zone, behaviour in zip(
            ('near', 'far'), ('attiki-a', 'attiki-b'), self.behaviours, strict=True
        ):
            peer = await RawUpstream(behaviour or serve).start()
            self.peers.append(peer)
            self.delivery.members[name] = make_member(
                name,
                availability_zone=zone,
                peer_address=peer.address if behaviour else free_address(),
            )
        return self.delivery

    def stop(self):
        self.delivery.stop()
        for peer in self.peers:
            peer.stop()


@given('a host that reaches no target, and two peers of which the first {failure}')
def step_peers(context, failure):
    context.proxying = ProxyHarness(BEHAVIOURS[failure], serve)


@given('a host that reaches no target, and two peers that reach none either')
def step_no_peers(context):
    context.proxying = ProxyHarness(reaches_none, reaches_none)


ANNOUNCEMENTS = {
    'that it leaves': (b'200 OK', {'Server_Leaving': '1'}),
    'a limit': (b'200 OK', {'Server_Limit': '3'}),
    'a refusal for a time': (b'503 Busy', {'Retry_After': '9'}),
}


@given('a host that reaches no target, and a peer whose target announces {what}')
def step_announcing(context, what):
    status, fields = ANNOUNCEMENTS[what]

    async def announce(number, headers, writer):
        writer.write(reply(headers, 'answered', status=status, sent='i-1,i-2', **fields))

    context.what = what
    context.proxying = ProxyHarness(announce, reaches_none)
    context.proxying.delivery.behaviours = [close_connection] * 2


@then('this host {verb} that of the target that responded, and of no other')
def step_noted(context, verb):
    states = context.proxying.delivery.target_registry.states_by_id
    read = {
        'that it leaves': lambda each: each.availability.leaving_since is not None,
        'a limit': lambda each: each.availability.limit is not None,
        'a refusal for a time': lambda each: each.availability.refusing_until > 0,
    }[context.what]
    noted = [target_id for target_id, state in states.items() if read(state)]
    assert noted == (['i-2'] if verb == 'notes' else []), noted


def path_of(kind):
    return '/write/x' if kind == 'a non-idempotent' else '/read/x'


@when('one caller sends {kind} request with a timeout of 1 s')
def step_send(context, kind):
    async def play():
        delivery = await context.proxying.start()
        started = time.monotonic()
        try:
            response = await delivery.send('r-1', path=path_of(kind), caller_timeout_s=1.0)
            assert response.body == b'whole' and HANDOVER not in response.headers
            context.outcome = 'the whole response'
        except RequestError as error:
            context.outcome = error.code
        context.took_s = time.monotonic() - started
        context.proxying.stop()

    run_real(play())


@then('the caller gets {outcome}, and the peers got {near:d} {far:d} requests')
def step_outcome(context, outcome, near, far):
    counts = [len(peer.heads) for peer in context.proxying.peers]
    assert (context.outcome, counts) == (outcome, [near, far]), (context.outcome, counts)


@then('it took less than half of the timeout')
def step_at_once(context):
    assert context.took_s < 0.5, context.took_s


def header_of(peer, name):
    lines = [line.partition(': ') for line in peer.heads[0].split('\r\n')]
    return next(value for key, _, value in lines if key.lower() == name.lower())


@then('the peers were allowed 2 and 1 attempts, and the second is told the targets of the first')
def step_attempts(context):
    first, second = (header_of(peer, HANDOVER) for peer in context.proxying.peers)
    assert first == 'origin=attiki-a-1 attempts=2 tried=', first
    assert second == 'origin=attiki-a-1 attempts=1 tried=i-1,i-2', second


@then('the second peer is told at most 0.7 s')
def step_time_left(context):
    told_ms = int(header_of(context.proxying.peers[1], 'X-Timeout-Ms'))
    assert 0 < told_ms <= 700, told_ms


def from_other_host(request, *, max_attempts=2):
    request.handover = Handover(origin='attiki-b-1', max_attempts=max_attempts)
    return request


@when('another host sends it a request')
def step_other_host(context):
    async def play():
        delivery = await context.proxying.start()
        started = time.monotonic()
        try:
            await delivery.dispatcher.handle(
                from_other_host(delivery.request('r-1', '/read/x', 'x', 1.0))
            )
        except RequestError as error:
            context.error = error
        context.took_s = time.monotonic() - started
        context.counts = [len(peer.heads) for peer in context.proxying.peers]
        context.proxying.stop()

    run_real(play())


@then('it refuses that request at once, and the peers got 0 0 requests')
def step_one_hop(context):
    assert context.error.outcome == 'not_run', context.error
    assert context.took_s < 0.5 and context.counts == [0, 0], (context.took_s, context.counts)


@given('a host whose targets respond after 0.5 s')
def step_slow_targets(context):
    async def respond(number, headers, writer):
        await asyncio.sleep(0.5)
        writer.write(response_to(headers))

    context.delivery = DeliveryHarness([respond] * 60)


@when('other hosts send it 200 requests at once, and a caller one')
def step_many(context):
    async def play():
        delivery = await context.delivery.start()
        requests = [
            from_other_host(delivery.request(f'o-{n}', f'/read/{n}', f'{n}', 2.0))
            for n in range(200)
        ]
        pending = [asyncio.create_task(delivery.dispatcher.handle(one)) for one in requests]
        own = asyncio.create_task(delivery.send('own'))
        await asyncio.sleep(0.2)
        context.refused_early = sum(
            task.done() and task.exception() is not None for task in pending
        )
        results = await asyncio.gather(*pending, return_exceptions=True)
        context.taken = sum(not isinstance(one, RequestError) for one in results)
        context.codes = {one.code for one in results if isinstance(one, RequestError)}
        context.own = await own
        delivery.stop()

    run_real(play())


@then('it takes 128 of these requests, refuses the others at once, and serves the caller')
def step_limited(context):
    assert context.taken == 128 and context.refused_early == 72, (
        context.taken,
        context.refused_early,
    )
    assert context.codes == {'proxy_busy'}, context.codes
    assert context.own.body == b'whole'


@when('the caller of {kind} request leaves after 0.2 s')
def step_leaves(context, kind):
    async def play():
        delivery = await context.proxying.start()
        task = asyncio.create_task(delivery.send('r-1', path=path_of(kind), caller_timeout_s=2.0))
        await asyncio.sleep(0.2)
        task.cancel()
        await asyncio.sleep(0.3)
        context.open_count = context.proxying.peers[0].open_count
        context.proxying.stop()

    run_real(play())


@then('the connection to the peer is {state} 0.3 s later')
def step_connection(context, state):
    assert context.open_count == (1 if state == 'open' else 0), context.open_count


@when('the first peer is suspected 0.2 s after an idempotent request was sent to it')
def step_suspected(context):
    async def play():
        delivery = await context.proxying.start()
        task = asyncio.create_task(delivery.send('r-1', caller_timeout_s=1.0))
        await asyncio.sleep(0.2)
        suspect_peer(delivery)
        response = await task
        assert response.body == b'whole'
        context.outcome = 'the whole response'
        context.proxying.stop()

    run_real(play())


@when(
    'an idempotent request, a non-idempotent one and another idempotent one overlap at the first '
    'peer'
)
def step_overlap(context):
    async def play(delivery):
        context.ended = []
        context.ended.append(asyncio.create_task(delivery.send('first')))
        await asyncio.sleep(0.05)
        context.ended.append(asyncio.create_task(delivery.send('second', path='/write/x')))
        await asyncio.sleep(0.2)
        context.third = asyncio.create_task(delivery.send('third'))

    context.play_overlap = play


@when('the first peer is suspected when the first two have ended')
def step_suspected_later(context):
    async def play():
        delivery = await context.proxying.start()
        await context.play_overlap(delivery)
        await asyncio.gather(*context.ended)
        suspect_peer(delivery)
        started = time.monotonic()
        response = await context.third
        assert response.body == b'whole'
        context.took_s = time.monotonic() - started
        context.proxying.stop()

    run_real(play())


@then('the third request is served by the other peer within {limit:g} s')
def step_third(context, limit):
    assert context.took_s < limit, context.took_s
    assert len(context.proxying.peers[1].heads) == 1


def suspect_peer(delivery):
    members = delivery.members
    members['near'] = make_member(
        'near', state='suspect', peer_address=members['near'].peer_address
    )
    for changed in members.listeners:
        changed()


@given('a host that has lost its paths to targets that respond again')
def step_lost_targets(context):
    async def respond(number, headers, writer):
        writer.write(response_to(headers))

    context.delivery = DeliveryHarness([respond] * 6)
    context.lost = range(6)


@given('a host of whose six targets three are down, and that has few requests')
def step_three_down(context):
    async def respond(number, headers, writer):
        writer.write(response_to(headers))

    context.delivery = DeliveryHarness([respond] * 6)
    context.down = range(3)
    context.lost = range(3)


@when('the health checks of the host run for 1.5 s')
def step_checks(context):
    async def play():
        delivery = await context.delivery.start()
        for number in getattr(context, 'down', ()):
            delivery.targets[number].stop()
        now = asyncio.get_running_loop().time()
        states = [delivery.target_registry.state_of(f'i-{n}') for n in range(6)]
        for number in context.lost:
            states[number].note_down(check_at=now, now=now)
        context.paths = delivery.target_registry.paths
        assert context.paths.is_lost()
        checker = delivery.make_health_checker()
        checking = asyncio.create_task(checker.run())
        await asyncio.sleep(1.5)
        checking.cancel()
        now = asyncio.get_running_loop().time()
        context.down_ids = {state.entry.target_id for state in states if state.is_down}
        context.cold_ids = {state.entry.target_id for state in states if state.is_cold(now=now)}
        delivery.stop()

    run_real(play())


@then('all targets are used again, and none of them is cold')
def step_all_used(context):
    assert not context.down_ids and not context.cold_ids, (context.down_ids, context.cold_ids)


@then('its paths are not lost, and three targets are down')
def step_found_out(context):
    assert not context.paths.is_lost()
    assert context.down_ids == {'i-0', 'i-1', 'i-2'}, context.down_ids


@given('a fleet of two hosts')
def step_two_hosts(context):
    context.fleet = EntryFleet(attiki=2, makedonia=0)


async def exchange_raw(address, text):
    """Send bytes to an address and return what arrives within 0.5 s."""
    number, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(number, int(port))
    writer.write(text)
    received = b''
    try:
        async with asyncio.timeout(0.5):
            while chunk := await reader.read(65_536):
                received += chunk
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return received


@when(
    "a request with a valid header between hosts comes over a caller's connection and over a peer's"
)
def step_both_connections(context):
    head = (
        f'GET /read/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: r-1\r\n'
        f'{HANDOVER}: origin=attiki-1 attempts=1 tried=\r\n\r\n'
    ).encode()
    rubbish = (b'', b'\x00' * 300, b'G', b'GET / HT', head[:-4], b'z' * 70_000, b'\x97\x00')

    async def play(fleet):
        caller, _, _, peer, _ = fleet.addresses['attiki-0']
        context.answers = [await exchange_raw(address, head) for address in (caller, peer)]
        await asyncio.gather(*(exchange_raw(peer, text) for text in rubbish))
        context.answers.append(await exchange_raw(peer, head))
        context.failed_tasks = [task for task in fleet.tasks.values() if task.done()]

    _play(context, play)


@then('only the second is one of another host')
def step_only_second(context):
    assert all(answer.startswith(b'HTTP/1.1 200 ') for answer in context.answers), context.answers
    marked = [HANDOVER.encode() in answer for answer in context.answers]
    assert marked == [False, True, True], marked


@then(
    'connections to the peer address that send nothing, rubbish or parts of a request do no harm'
)
def step_no_harm(context):
    assert not context.failed_tasks


@given('a host whose 12 targets accept no connection, and that has no peers')
def step_no_paths(context):
    context.delivery = DeliveryHarness([serve] * 12)


@when('its paths have been lost for 0.6 s and a caller sends a request')
def step_lost_for(context):
    async def play():
        delivery = await context.delivery.start()
        with contextlib.ExitStack() as stack:
            for target in delivery.targets:
                stack.enter_context(simulate_power_loss(target))
            loop = asyncio.get_running_loop()
            for number in range(3):
                delivery.target_registry.paths.note_failure(f'i-{number}', now=loop.time())
            await asyncio.sleep(0.6)
            started = loop.time()
            try:
                await delivery.send('r-1')
            except RequestError as error:
                context.error = error
            context.took_s = loop.time() - started
        delivery.stop()

    run_real(play())


@then('that is refused within 0.2 s, and the caller is told to come back after 0.5 to 1 s')
def step_refused_at_once(context):
    assert context.error.outcome == 'not_run', context.error
    assert context.took_s < 0.2, context.took_s
    assert 0.5 <= context.error.retry_after_s <= 1, context.error.retry_after_s


@given('a host whose targets break off their responses 0.2 s after the head')
def step_break_off(context):
    async def break_off_late(number, headers, writer):
        writer.write(response_to(headers)[:-2])
        await asyncio.sleep(0.2)
        raise ConnectionError

    context.delivery = DeliveryHarness([break_off_late] * 6)


@when('6 non-idempotent requests are sent at once')
def step_send_six(context):
    async def play():
        delivery = await context.delivery.start()
        keys = [delivery.key_that_prefers(f'i-{number}') for number in range(6)]
        results = await asyncio.gather(
            *(delivery.send(f'r-{key}', path='/write/x', key=key) for key in keys),
            return_exceptions=True,
        )
        assert all(isinstance(one, RequestError) for one in results), results
        context.paths = delivery.target_registry.paths
        context.down_ids = [
            state.entry.target_id
            for state in delivery.target_registry.states_by_id.values()
            if state.is_down
        ]
        delivery.stop()

    run_real(play())


@then('its paths are not lost, and no target is down')
def step_no_loss(context):
    assert not context.paths.is_lost(), context.paths.failed_ids()
    assert not context.down_ids, context.down_ids
