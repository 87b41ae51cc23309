"""Steps of misbehaving_callers.feature."""

import asyncio
import contextlib
import os
from pathlib import Path

from behave import given, then, when
from caller_crowd import TINY_BYTES, Crowd, crowd_of, head_of
from entry_fleet import HOST_NAME
from entry_stop_steps import HostProcess
from platform_helpers import run_real
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from balsamrail.platform.lookup_server import LOOKUP_PATH, READY_PATH

RUN_S = 150
# The time that the callers wait for a response; only ends the scenario of a host that hangs.
ANSWER_S = 30
SAMPLING_S = 0.02
LOOKUP = f'{LOOKUP_PATH}?name={HOST_NAME}&region=attiki&zone='
# The address in the settings, the method and path of the crowd, and the path of an ordinary request.
PLACES = {
    'a path with a route': ('caller_address', 'POST', '/write/0', '/write/0'),
    'a path without a route': ('caller_address', 'POST', '/elsewhere/0', '/read/0'),
    'the readiness address': ('readiness_address', 'GET', READY_PATH, READY_PATH),
    'the look-up address': ('lookup_address', 'GET', LOOKUP, LOOKUP),
    'the operator address': ('operator_address', 'GET', '/status', '/status'),
}
SMALL_LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 1_000_000,
    'headerTimeoutS': 3,
    'idleTimeoutS': 15,
}
PLATFORM_LIMITS = {**SMALL_LIMITS, 'maxBodyBytes': 67_108_864}
SMALL = {'memory_mb': 64, 'max_descriptors': 400}
CALM = {'memory_mb': 152, 'max_descriptors': 1_535}


class LimitedHost(HostProcess):
    """A host process whose memory and descriptors are watched."""

    def __init__(self, *, limits, **settings):
        super().__init__(**settings)
        self.limits = limits
        self.max_descriptors = 0

    def manifest(self):
        document = super().manifest()
        (entry,) = [item for item in document['resources'] if item['entryKind'] == 'limits']
        entry['spec'] = self.limits
        return document

    async def watch(self):
        """Record the largest number of descriptors."""
        while True:
            self.count_descriptors()
            await asyncio.sleep(SAMPLING_S)

    def count_descriptors(self):
        """Update the largest number of descriptors, unless the process has ended."""
        with contextlib.suppress(OSError):
            count = len(os.listdir(f'/proc/{self.process.pid}/fd'))
            self.max_descriptors = max(self.max_descriptors, count)

    def peak_mb(self):
        """Return the largest resident set of the process so far, ``None`` if it has ended."""
        try:
            lines = Path(f'/proc/{self.process.pid}/status').read_text().splitlines()
        except OSError:
            return None
        fields = dict(line.split(':', 1) for line in lines)
        return int(fields['VmHWM'].split()[0]) * 1_024 / 1_000_000 if 'VmHWM' in fields else None

    async def get(self, address, path):
        """Return the status of the response to an ordinary request, or the error."""
        headers = {'Host': HOST_NAME, 'X-Request-Id': 'ordinary', 'X-Timeout-Ms': '9000'}
        request = HTTPRequest(
            f'http://{address}{path}',
            headers=headers,
            connect_timeout=ANSWER_S,
            request_timeout=ANSWER_S,
        )
        client = AsyncHTTPClient(force_instance=True)
        try:
            return (await client.fetch(request, raise_error=False)).code
        except Exception as error:
            return repr(error)


def _play(context, script):
    async def run():
        async with LimitedHost(limits=context.limits, **context.settings) as host:
            watch = asyncio.create_task(host.watch())
            try:
                await script(host)
            finally:
                watch.cancel()
                context.peak_mb = host.peak_mb()
                context.max_open = host.max_descriptors
                context.exit_code = host.process.returncode

    run_real(run(), limit_s=RUN_S)


@given('a process of a host with 64 MB, 400 descriptors and bodies of at most 1 MB')
def step_small(context):
    context.limits = SMALL_LIMITS
    context.settings = SMALL


@given('a process of a host with 152 MB and the limits of the platform')
def step_calm(context):
    context.limits = PLATFORM_LIMITS
    context.settings = CALM


@when('callers send {crowd} to {place} and stay connected')
def step_crowd(context, crowd, place):
    field, method, path, ordinary_path = PLACES[place]
    if crowd == 'pipelined requests' and field == 'caller_address':
        path = ordinary_path if 'with a route' in place else path

    async def script(host):
        address = host.addresses[field]
        callers = Crowd(address=address)
        try:
            await callers.send(*crowd_of(crowd, method=method, path=path))
            context.status = await host.get(host.address, '/read/0')
            # The host has accepted all earlier connections of the address when it answers.
            context.status_at_place = await host.get(address, ordinary_path)
            host.count_descriptors()
        finally:
            callers.leave()

    _play(context, script)
    print(
        f'{crowd} | {place} | {context.peak_mb} MB | {context.max_open} descriptors | '
        f'{context.status} {context.status_at_place}'
    )


@then('the process lives, within its memory and its descriptors')
def step_bounds(context):
    assert context.exit_code is None, context.exit_code
    assert context.peak_mb is not None
    assert context.peak_mb < context.settings['memory_mb'], context.peak_mb
    assert context.max_open < context.settings['max_descriptors'], context.max_open


@then('an ordinary request is answered, and so is one at that place')
def step_ordinary(context):
    assert context.status == 200, context.status
    assert context.status_at_place == 200, context.status_at_place


def _single_request(content):
    """Return the parts of a request, and the body that the target has to get."""
    whole = bytes(67_108_864)
    chunk = 65_536
    match content:
        case 'a body of 64 MiB':
            return [head_of('POST', '/write/0', f'Content-Length: {len(whole)}'), whole], whole
        case 'a body of 64 MiB in chunks':
            text = b'%x\r\n' % chunk + bytes(chunk) + b'\r\n'
            head = head_of('POST', '/write/0', 'Transfer-Encoding: chunked')
            return [head, *[text] * (len(whole) // chunk), b'0\r\n\r\n'], whole
        case '16 KiB of two-byte header fields':
            return [head_of('GET', '/read/0', is_filled=True)], b''
        case 'a body of 60000 bytes in 1-byte chunks':
            head = head_of('POST', '/write/0', 'Transfer-Encoding: chunked')
            return [head, b'1\r\nx\r\n' * TINY_BYTES, b'0\r\n\r\n'], b'x' * TINY_BYTES
    raise ValueError(content)


@when('one request arrives with {content}')
def step_single(context, content):
    async def script(host):
        number, _, port = host.address.rpartition(':')
        reader, writer = await asyncio.open_connection(number, int(port))
        parts, context.body = _single_request(content)
        head = parts[0].decode()
        # TE concerns the connection only and is not passed on.
        lines = [line for line in head.split('\r\n') if line != 'te:']
        context.fields = [line for line in lines if line.endswith(':')]
        host.target.upstream.bodies.clear()
        for part in parts:
            writer.write(part)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        async with asyncio.timeout(ANSWER_S):
            context.response = await reader.readuntil(b'\r\n')
        writer.close()
        context.bodies = list(host.target.upstream.bodies)
        context.target_head = host.target.upstream.heads[-1]

    _play(context, script)
    print(f'{content} | {context.peak_mb} MB | {context.response}')


@then('the target gets exactly that request, and the caller its response')
def step_served(context):
    assert context.response.startswith(b'HTTP/1.1 200'), context.response
    assert context.bodies == [context.body], [len(body) for body in context.bodies]
    lines = [line.rstrip() for line in context.target_head.lower().split('\r\n')]
    assert sorted(context.fields) == sorted(line for line in lines if line.endswith(':'))
