"""Steps of manifest_lease.feature with processes of hosts."""

import asyncio
import contextlib
import json
import signal
import tempfile

from behave import given, then, when
from entry_fleet import manifest
from entry_process import end_processes, start_entry
from platform_helpers import process_settings, run_real
from tornado.httpclient import AsyncHTTPClient

from standins.platform_store import PlatformStore

RUN_S = 60
EXPIRIES = 'balsamrail_manifest_lease_expired_total'


class LeaseProcesses:
    """Processes of entry hosts of one region, and a store in this process."""

    def __init__(self, count, *, revoke_s):
        self._count = count
        self._revoke_s = revoke_s
        self.processes = []
        self.operator_addresses = []

    async def __aenter__(self):
        self.store = PlatformStore()
        await self.store.start()
        self.store.put('config', 'main', manifest(3))
        self.folder = tempfile.TemporaryDirectory()
        documents = [self._settings(number) for number in range(self._count)]
        seeds = [document['peer_address'] for document in documents]
        for document in documents:
            self.operator_addresses.append(document['operator_address'])
            settings = {**document, 'seeds': seeds}
            self.processes.append(await start_entry(settings, self.folder.name))
        return self

    async def __aexit__(self, *_):
        await end_processes(*self.processes)
        self.folder.cleanup()
        await self.store.stop()

    def _settings(self, number):
        zone = f'attiki-{"ab"[number % 2]}'
        return process_settings(
            host=f'attiki-{number}',
            availability_zone=zone,
            region_by_availability_zone={'attiki-a': 'attiki', 'attiki-b': 'attiki'},
            store={'address': self.store.address, 'timeout_s': 1.5},
            bounds={'revoke_s': self._revoke_s, 'config_apply_s': 3},
            limits={'heartbeat_s': 0.5, 'suspect_after_s': 1.5, 'gone_after_s': 0.5},
            is_first_start=True,
        )

    async def leases(self):
        """Return the dump of each host's lease."""
        return [json.loads(page)['manifest_lease'] for page in await self._pages('/dump')]

    async def values(self, name):
        """Return the value of a metric at each host, 0 where it is missing."""
        values = []
        for page in await self._pages('/metrics'):
            lines = [line.split() for line in page.splitlines() if line.startswith(f'{name} ')]
            values.append(float(lines[0][1]) if lines else 0)
        return values

    async def until_confirmed(self, *, limit_s):
        async with asyncio.timeout(limit_s):
            while True:
                with contextlib.suppress(OSError):
                    if all(lease['is_confirmed'] for lease in await self.leases()):
                        return
                await asyncio.sleep(0.1)

    async def _pages(self, path):
        client = AsyncHTTPClient(force_instance=True)
        pages = [
            await client.fetch(f'http://{address}{path}') for address in self.operator_addresses
        ]
        return [page.body.decode() for page in pages]


@given('{count:d} processes of hosts with a bound on withdrawals of {revoke_s:d} s and a store')
def step_processes(context, count, revoke_s):
    async def run(script):
        async with LeaseProcesses(count, revoke_s=revoke_s) as hosts:
            await script(hosts)

    context.play = lambda script: run_real(run(script), limit_s=RUN_S)


@when(
    'they have the manifest, one is stopped for {stop_s:d} s, '
    'and then the store refuses all calls for {outage_s:d} s'
)
def step_failures(context, stop_s, outage_s):
    async def script(hosts):
        await hosts.until_confirmed(limit_s=20)
        context.expiries_before = await hosts.values(EXPIRIES)
        hosts.processes[-1].send_signal(signal.SIGSTOP)
        await asyncio.sleep(stop_s)
        hosts.processes[-1].send_signal(signal.SIGCONT)
        await hosts.until_confirmed(limit_s=10)
        context.expiries_woken = await hosts.values(EXPIRIES)
        hosts.store.mode = 'busy'
        await asyncio.sleep(outage_s)
        context.leases = await hosts.leases()
        context.ages = await hosts.values('balsamrail_manifest_age_s')
        context.expiries = await hosts.values(EXPIRIES)
        hosts.store.mode = 'up'
        await hosts.until_confirmed(limit_s=5)
        context.is_confirmed_again = True

    context.play(script)


@then(
    'all of them were confirmed, the stopped one not when it woke, '
    'and none at the end of the outage'
)
def step_states(context):
    assert context.expiries_woken[-1] == context.expiries_before[-1] + 1, context.expiries_woken
    assert not any(lease['is_confirmed'] for lease in context.leases), context.leases
    assert all(lease['manifest_version'] == 3 for lease in context.leases), context.leases


@then('all of them are confirmed within 5 s after the outage')
def step_confirmed_again(context):
    assert context.is_confirmed_again


@then('their metrics have the age of the manifest and the expiries')
def step_metrics(context):
    assert min(context.ages) > 4, context.ages
    pairs = zip(context.expiries, context.expiries_woken, strict=True)
    assert all(after >= before + 1 for after, before in pairs), context.expiries
