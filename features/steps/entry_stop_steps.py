"""Steps of entry.feature about the end of a host's process."""

import asyncio
import tempfile

from behave import given, then, when
from delivery_parts import response_to
from entry_fleet import HOST_NAME, Target, manifest
from entry_process import check_running, end_processes, start_entry
from placement_parts import REGION_BY_ZONE
from platform_helpers import process_settings, run_real
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from standins.platform_store import PlatformStore

RUN_S = 40
CLOSED = 599


class SlowTarget(Target):
    """A target that takes the time that the path says, as in ``/read/1.5``."""

    async def _answer(self, number, headers, writer):
        await asyncio.sleep(float(self.upstream.heads[-1].split()[1].rpartition('/')[2]))
        writer.write(response_to(headers))


class HostProcess:
    """A host in a process of its own, with the stand-in store and one target.

    :param settings: settings besides those that the host determines.
    """

    def __init__(self, **settings):
        self.settings = settings

    async def __aenter__(self):
        self.store = PlatformStore()
        await self.store.start()
        self.store.put('config', 'main', self.manifest())
        self.target = SlowTarget('lepu-1', zone='attiki-a', service='lepu')
        await self.target.start(self.store)
        settings = process_settings(
            region_by_availability_zone=REGION_BY_ZONE,
            store={'address': self.store.address},
            bounds={'stop_grace_s': 6},
            **self.settings,
        )
        self.addresses = settings
        self.address = settings['caller_address']
        self.folder = tempfile.TemporaryDirectory()
        self.process = await start_entry(settings, self.folder.name)
        # Serves once it has the manifest and the target.
        while (await self.send('ready', takes_s=0)).code != 200:
            check_running(self.process)
            await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_):
        await end_processes(self.process)
        self.folder.cleanup()
        self.target.upstream.stop()
        await self.store.stop()

    def manifest(self):
        document = manifest(3)
        (read,) = [item for item in document['resources'] if item['entryKind'] == 'routes']
        read['spec']['timeoutS'] = 9
        write = {**read['spec'], 'pathPrefix': '/write/', 'kind': 'non_idempotent'}
        document['resources'].append(
            {'entryKind': 'routes', 'metadata': {'name': 'w'}, 'spec': write}
        )
        return document

    async def send(self, request_id, *, takes_s, path='/read', timeout_s=2):
        headers = {
            'Host': HOST_NAME,
            'X-Request-Id': request_id,
            'X-Timeout-Ms': str(int(timeout_s * 1_000)),
        }
        request = HTTPRequest(
            f'http://{self.address}{path}/{takes_s}', request_timeout=20, headers=headers
        )
        try:
            return await AsyncHTTPClient(force_instance=True).fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return HTTPResponse(request, CLOSED)

    def reached_ids(self):
        """Return the ids of the requests that reached the target."""
        lines = [head.split('\r\n') for head in self.target.upstream.heads]
        fields = [line.partition(': ') for head in lines for line in head]
        return {value for name, _, value in fields if name == 'X-Request-Id'}


@given('a process of a host, with a target that takes {takes_s:g} s')
def step_process(context, takes_s):
    async def run(script):
        async with HostProcess() as host:
            await script(host)

    context.takes_s = takes_s
    context.play = lambda script: run_real(run(script), limit_s=RUN_S)


@when('it gets SIGTERM while callers keep sending requests with a timeout of {timeout_s:g} s')
def step_late_requests(context, timeout_s):
    async def script(host):
        host.process.terminate()
        sends = []
        while host.process.returncode is None:
            request = host.send(f'r-{len(sends)}', takes_s=context.takes_s, timeout_s=timeout_s)
            sends.append(asyncio.create_task(request))
            await asyncio.sleep(0.1)
        context.responses = await asyncio.gather(*sends)
        context.reached = host.reached_ids()

    context.play(script)


@when(
    'it gets SIGTERM while {kind} request with a timeout of {timeout_s:g} s waits for its response'
)
def step_long_request(context, kind, timeout_s):
    async def script(host):
        path = '/write' if kind == 'a non-idempotent' else '/read'
        request = host.send('r-1', takes_s=context.takes_s, path=path, timeout_s=timeout_s)
        sent = asyncio.create_task(request)
        await asyncio.sleep(0.3)
        started = asyncio.get_running_loop().time()
        host.process.terminate()
        context.response = await sent
        await host.process.wait()
        context.stopped_after_s = asyncio.get_running_loop().time() - started

    context.play(script)


@when('it gets SIGTERM after the caller of a non-idempotent request has left')
def step_caller_left(context):
    async def script(host):
        number, _, port = host.address.rpartition(':')
        _, writer = await asyncio.open_connection(number, int(port))
        head = f'GET /write/{context.takes_s} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
        writer.write(f'{head}X-Request-Id: r-1\r\n\r\n'.encode())
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.1)
        assert 'r-1' in host.reached_ids()
        host.process.terminate()
        await host.process.wait()
        await asyncio.sleep(0.1)
        context.cut = host.target.upstream.closed_early

    context.play(script)


@then('the target completes the request before the host closes the connection')
def step_completed(context):
    assert context.cut == 0, context.cut


@then('its caller is told {status:d} {code} before the grace period of {grace_s:g} s is over')
def step_told_at_end(context, status, code, grace_s):
    assert context.response.code == status, context.response
    assert code.encode() in context.response.body, context.response.body
    assert context.stopped_after_s < grace_s, context.stopped_after_s


@then("each request ends with its target's response, or reached no target")
def step_ended(context):
    cut = [
        (number, response.code)
        for number, response in enumerate(context.responses)
        if (response.code == 200) != (f'r-{number}' in context.reached)
    ]
    assert not cut, cut
    assert context.responses[0].code == 200, context.responses[0]


@then('those rejected before the host ends are told to retry elsewhere at once')
def step_rejected(context):
    codes = {response.code for response in context.responses}
    assert codes <= {200, 503, CLOSED} and 503 in codes, codes
    for response in context.responses:
        if response.code == 503:
            assert response.headers['Retry-After'] == '0', response.headers
            assert response.headers['Connection'] == 'close', response.headers
            assert b'host_leaving' in response.body, response.body
