"""Steps of endless_bytes.feature for responses that wait for readers who read nothing."""

import asyncio
import contextlib
import socket
import tracemalloc

from behave import given, then, when
from delivery_parts import response_to
from entry_fleet import HOST_NAME, EntryFleet
from forwarding_parts import RawUpstream, whole
from http_host import serving
from platform_helpers import run_real

from balsamrail.platform.headers import HANDOVER

_MB = 1_000_000
MEMORY_MB = 64
LARGE = b'x' * (6 * _MB)
BLOCK = b'x' * 65_536
PAUSE_S = 0.25
PLAY_S = 2
READER_BUFFER_BYTES = 4_096
NEAR, FAR = 'attiki-0', 'attiki-1'


class LargeResponses(EntryFleet):
    """Two hosts whose targets respond to paths that contain ``large`` with many bytes."""

    def __init__(self, *, is_endless):
        super().__init__(attiki=2, makedonia=0, memory_mb=MEMORY_MB)
        self.is_endless = is_endless

    async def start_hosts(self, **options):
        await super().start_hosts(**options)
        for target in self.targets:
            target.upstream.answer = self._answer_of(target)

    def _answer_of(self, target):
        async def answer(number, headers, writer):
            if '/large' not in target.upstream.heads[number - 1]:
                writer.write(response_to(headers, b'small'))
            elif self.is_endless:
                writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
                while True:
                    writer.write(BLOCK)
                    await writer.drain()
            else:
                writer.write(response_to(headers, LARGE))

        return answer


@given('a host of {memory:d} MB and a second one, with targets that {respond}')
def step_hosts(context, memory, respond):
    assert memory == MEMORY_MB
    context.fleet = LargeResponses(is_endless='without end' in respond)


async def open_reader(address, text):
    """Send a request over a connection that accepts few bytes; the caller has to close it."""
    number, _, port = address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READER_BUFFER_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (number, int(port)))
    await loop.sock_sendall(sock, text)
    return sock


def request_text(number, *, is_from_host):
    lines = [
        f'GET /read/large-{number} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'X-Request-Id: large-{number}',
        'X-Timeout-Ms: 3000',
    ]
    if is_from_host:
        lines.append(f'{HANDOVER}: origin={NEAR} attempts=1 tried=')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def keep_paths_lost(fleet):
    """Make the first host send all requests through the second one."""
    paths = fleet.hosts[NEAR].delivery.target_registry.paths
    while True:
        for number in range(3):
            paths.note_failure(f'lost-{number}', now=asyncio.get_running_loop().time())
        await asyncio.sleep(0.005)


async def send_small(fleet, codes):
    number = 0
    while True:
        number += 1
        for host in (NEAR, FAR):
            headers = {
                'Host': HOST_NAME,
                'X-Request-Id': f's-{host}-{number}',
                'X-Timeout-Ms': '2000',
            }
            answer = await fleet.get(fleet.addresses[host][0], f'/read/{number}', headers=headers)
            codes.append((answer.code, answer.body))
        await asyncio.sleep(0.05)


@when('{count:d} {readers} send requests for such responses and read nothing')
def step_read_nothing(context, count, readers):
    is_from_host = readers == 'connections of another host'
    fleet = context.fleet
    context.codes = []
    context.hosts_used = 2 if 'through' in readers else 1

    async def play():
        await fleet.start()
        host, port = (FAR, 3) if is_from_host else (NEAR, 0)
        tasks = [asyncio.create_task(send_small(fleet, context.codes))]
        if 'through' in readers:
            tasks.append(asyncio.create_task(keep_paths_lost(fleet)))
            await asyncio.sleep(0.1)
        tracemalloc.start()
        sockets = []
        for number in range(count):
            text = request_text(number, is_from_host=is_from_host)
            sockets.append(await open_reader(fleet.addresses[host][port], text))
            # So that each response is complete before the next one, and none exceeds the limit alone.
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(PLAY_S)
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        context.requests_proxied = counter_of(fleet, NEAR, 'requests_proxied')
        for sock in sockets:
            sock.close()
        await asyncio.sleep(1)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.5)
        context.used_bytes = [
            each.delivery.pool._environment.answer_memory.used_bytes
            for each in fleet.hosts.values()
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await fleet.stop()

    run_real(play(), limit_s=40)
    if 'through' in readers:
        assert context.requests_proxied >= count, context.requests_proxied


def counter_of(fleet, host, name):
    return fleet.hosts[host].delivery.pool._environment.metrics.counter(name)


@then('the responses take at most {limit:d} MB of memory at each host')
def step_memory(context, limit):
    # One process plays the hosts and the targets, one of which is sending a response.
    allowed = context.hosts_used * limit * _MB + len(LARGE)
    print(f'peak of {context.peak_bytes} bytes, {allowed} allowed')
    assert context.peak_bytes <= allowed, (context.peak_bytes, allowed)


@then('other callers get complete small responses throughout')
def step_small(context):
    assert len(context.codes) > 20, len(context.codes)
    wrong = [each for each in context.codes if each != (200, b'small')]
    assert not wrong, wrong[:5]


@then('once the readers have left, no response is accounted for')
def step_released(context):
    assert context.used_bytes == [0, 0], context.used_bytes


@when('{count:d} callers of a node of {memory:d} MB request responses of 6 MB and read nothing')
def step_node(context, count, memory):
    async def answer(number, headers, writer):
        writer.write(whole(LARGE))

    async def play():
        upstream = await RawUpstream(answer).start()
        async with serving([upstream], memory_mb=memory) as host:
            address = f'127.0.0.1:{host.port}'
            tracemalloc.start()
            sockets = []
            for _ in range(count):
                text = b'GET /services/bookings/large HTTP/1.1\r\nHost: x\r\n\r\n'
                sockets.append(await open_reader(address, text))
                await asyncio.sleep(PAUSE_S)
            context.peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            context.answered = host.environment.metrics.counter('answers_200')
            for sock in sockets:
                sock.close()
            await asyncio.sleep(1)
            context.used_bytes = host.environment.answer_memory.used_bytes

    run_real(play(), limit_s=40)
    assert context.answered == count, context.answered


@then('they take at most {limit:d} MB of memory, besides one that is being sent to the node')
def step_node_memory(context, limit):
    print(f'peak of {context.peak_bytes} bytes')
    assert context.peak_bytes <= limit * _MB + len(LARGE), context.peak_bytes


@then('once the callers have left, the node accounts for no response')
def step_node_released(context):
    assert context.used_bytes == 0, context.used_bytes
