"""Steps of customers.feature about keys in the outputs and pages of processes."""

import asyncio
import contextlib
import tempfile
from pathlib import Path

from behave import given, then, when
from customer_parts import ACME, BRIO, HOST_NAME, customer, manifest_spec
from customers_manifest_steps import FAULTY_ENTRIES, SECRET
from delivery_parts import response_to
from entry_fleet import Target
from entry_process import end_processes, start_entry
from placement_parts import REGION_BY_ZONE
from platform_helpers import process_settings, run_real
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from standins.platform_store import PlatformStore

PAGES = ('/dump', '/status', '/metrics')
LIMIT_S = 20
KNOWN = {'acme': ACME['spec']['apiKeys'][0], 'brio': BRIO['spec']['apiKeys'][0]}
UNKNOWN = 'k-unknown-3141'
ALL_KEYS = (*ACME['spec']['apiKeys'], *BRIO['spec']['apiKeys'], UNKNOWN, SECRET)


class KeyTarget(Target):
    """A target that breaks off requests for ``/read/broken``."""

    async def _answer(self, number, headers, writer):
        if '/broken' in self.upstream.heads[-1]:
            raise ConnectionError
        writer.write(response_to(headers))


class HostProcesses:
    """Two hosts in processes of their own, which know each other; their outputs go to files."""

    def __init__(self):
        self.store = PlatformStore()
        self.answers = []
        self.pages = []
        self.processes = []
        self.settings = []

    async def __aenter__(self):
        await self.store.start()
        self.put(ACME, BRIO, version=3)
        self.target = KeyTarget('lepu-1', zone='attiki-a', service='lepu')
        await self.target.start(self.store)
        self.folder = tempfile.TemporaryDirectory()
        for number in (1, 2):
            self.settings.append(
                process_settings(
                    host=f'attiki-{number}',
                    region_by_availability_zone=REGION_BY_ZONE,
                    store={'address': self.store.address},
                    seeds=[one['peer_address'] for one in self.settings],
                )
            )
            await self._start(number, self.settings[-1])
        return self

    async def __aexit__(self, *_):
        await end_processes(*self.processes)
        self.folder.cleanup()
        self.target.upstream.stop()
        await self.store.stop()

    async def until_ready(self):
        for settings in self.settings:
            await self.until(lambda at=settings: self._serves(at))
            await self.until(lambda at=settings: self._knows_peer(at))

    def put(self, *entries, version):
        self.store.put('config', 'main', manifest_spec(*entries, version=version))

    async def until(self, holds):
        async with asyncio.timeout(LIMIT_S):
            while not await holds():  # noqa: ASYNC110 - the processes offer no event
                await asyncio.sleep(0.05)

    async def send(self, settings, key, *, path='/read/x'):
        """Send a request with a key, keep the whole response, and return its status."""
        headers = {'Host': HOST_NAME, 'X-Request-Id': path, 'X-Tenant': 'nobody'}
        if key is not None:
            headers['Authorization'] = f'Bearer {key}'
        response = await self._fetch(f'http://{settings["caller_address"]}{path}', headers)
        self.answers.append(f'{response.code} {dict(response.headers)} {response.body}')
        return response.code

    async def send_malformed(self, settings, text):
        """Send bytes that are no request, and keep what comes back."""
        host, _, port = settings['caller_address'].rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(text.encode('latin-1'))
        writer.write_eof()
        self.answers.append((await asyncio.wait_for(reader.read(), LIMIT_S)).decode())
        writer.close()

    async def read_pages(self):
        for settings in self.settings:
            for path in PAGES:
                page = await self._fetch(f'http://{settings["operator_address"]}{path}', {})
                assert page.code == 200 and len(page.body) > 100, (path, page)
                self.pages.append(page.body.decode())

    async def end(self):
        for process in self.processes:
            process.terminate()
        await asyncio.gather(*(process.wait() for process in self.processes))

    def outputs(self):
        return [path.read_text() for path in sorted(Path(self.folder.name).glob('*.txt'))]

    def logged(self, event, *, hosts):
        return all(f'event={event} ' in text for text in self.outputs()[:hosts])

    async def _start(self, number, settings):
        with self._open_output(number) as output:
            self.processes.append(
                await start_entry(settings, self.folder.name, options=('-X', 'dev'), output=output)
            )

    def _open_output(self, number):
        return Path(self.folder.name, f'{number}.txt').open('wb')

    async def _serves(self, settings):
        with contextlib.suppress(OSError):
            return await self.send(settings, KNOWN['acme']) == 200
        return False

    async def _knows_peer(self, settings):
        page = await self._fetch(f'http://{settings["operator_address"]}/dump', {})
        other = {'attiki-1': 'attiki-2', 'attiki-2': 'attiki-1'}[settings['host']]
        return other.encode() in page.body

    async def _fetch(self, url, headers):
        request = HTTPRequest(url, request_timeout=5, headers=headers)
        return await AsyncHTTPClient().fetch(request, raise_error=False)


@given('two processes of entry with a store, a target and customers')
def step_processes(context):
    context.hosts = HostProcesses()


@when(
    'they get requests with known, unknown and odd keys, a malformed manifest and malformed customers'
)
def step_play(context):
    async def play():
        async with context.hosts as hosts:
            await hosts.until_ready()
            hosts.answers.clear()
            context.statuses = []
            for settings in hosts.settings:
                for key in (KNOWN['acme'], KNOWN['brio'], UNKNOWN, None):
                    context.statuses.append(await hosts.send(settings, key))
                await hosts.send(settings, KNOWN['acme'], path='/read/broken')
                await hosts.send(settings, KNOWN['acme'], path='/nowhere/x')
                await hosts.send(settings, UNKNOWN, path='/open/x')
                head = f'GET /read/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
                for field in (
                    f'Authorization: Bearer {SECRET}\x01',
                    f'Authorization Bearer {SECRET}',
                    f'Authorization: Bearer {SECRET}\r\n {SECRET}',
                    f'Authorization: Bearer {SECRET}\r\nContent-Length: x',
                ):
                    await hosts.send_malformed(settings, f'{head}{field}\r\n\r\n')
            hosts.store.put('config', 'main', {'version': 4, 'resources': [SECRET, *KNOWN]})
            await hosts.until(lambda: _logged(hosts, 'manifest_rejected'))
            hosts.put(ACME, *FAULTY_ENTRIES.values(), customer('cape', *KNOWN.values()), version=5)
            await hosts.until(lambda: _logged(hosts, 'customer_key_shared'))
            for settings in hosts.settings:
                context.statuses.append(await hosts.send(settings, KNOWN['acme']))
                context.statuses.append(await hosts.send(settings, SECRET))
            await hosts.read_pages()
            await hosts.end()
            context.outputs = hosts.outputs()
            context.heads = hosts.target.upstream.heads

    run_real(play(), limit_s=60)


async def _logged(hosts, event):
    return hosts.logged(event, hosts=2)


@then(
    'the requests with known keys are served, and no key is in an output, a page, an answer or at the target'
)
def step_no_keys(context):
    assert context.statuses == [200, 200, 401, 401] * 2 + [200, 401] * 2, context.statuses
    for output in context.outputs:
        assert output.count('event=customer_rejected ') == len(FAULTY_ENTRIES), output
        assert 'event=request_done ' in output and 'customer=acme' in output, output
        assert 'event=attempt_failed ' in output, output
    texts = [*context.outputs, *context.hosts.pages, *context.hosts.answers, *context.heads]
    found = [(key, text[:2_000]) for key in ALL_KEYS for text in texts if key in text]
    assert not found, found
    assert not [head for head in context.heads if 'authorization' in head.lower()]
