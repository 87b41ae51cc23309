"""Steps for earlier_version.feature; the earlier version is built from the history."""

import asyncio
import contextlib
import io
import json
import os
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path

from behave import given, then, when
from entry_fleet import FLEET_NUMBERS, HOST_NAME, Target, manifest
from platform_helpers import process_settings, run_real
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from balsamrail.messages import CrashReport, Heartbeat, Hello, encode_message
from standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parents[2]
# The version before the first message or meaning that depends on the version of a host.
EARLIER_COMMIT = 'd9b7aab'
ZONE = 'attiki-a'
DEADLY = '/write/deadly'
TARGETS = 8
RUN_S = 90
# Hosts of the earlier version flood what they report only to the neighbours of their last heartbeat
# interval, and never again.
EARLIER_CONTACT_S = 3
# Encoded by the earlier version.
RECORDED = {
    'Hello': '9800a8617474696b692d31b43030303030303030303030303030303030303030aa31302e302e302e313a31aa31302e302e302e313a32a6617474696b69a8617474696b692d61a5616c697665',
    'CrashReport': '9509c41066666666666666666666666666666666a46c657075a3692d31cb3ff8000000000000',
    'Heartbeat': '950101028080',
}


def extract_earlier_sources(folder):
    """Extract the earlier sources; return whether the history has them."""
    command = ['git', 'archive', '--format=tar', EARLIER_COMMIT, 'src']
    archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter='data')
    return True


class CrashingTarget(Target):
    """Ends for good when it begins to run the deadly request."""

    has_crashed = False

    async def _answer(self, number, headers, writer):
        if DEADLY in self.upstream.heads[number - 1]:
            self.has_crashed = True
            self.upstream.stop()
            raise ConnectionError
        await super()._answer(number, headers, writer)


class HostOfVersion:
    """A host process and its settings file; ``source`` is the folder of its version."""

    def __init__(self, *, name, folder, settings):
        self.name = name
        self.settings = settings
        self.path = Path(folder) / f'{name}.json'
        self.log = Path(folder) / f'{name}.log'
        self.path.write_text(json.dumps(settings))
        self.process = None

    def start(self, source):
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'balsamrail.entry', str(self.path)],
                env={**os.environ, 'PYTHONPATH': str(source)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def end(self):
        self.process.kill()
        self.process.wait()

    def check_running(self):
        """Fail with the end of the log if the process has ended."""
        code = self.process.poll()
        assert code is None, (self.name, code, self.log.read_text()[-1_000:])


class MixedFleet:
    """Three hosts, of which the first two are of the earlier version, with a store and targets."""

    def __init__(self, *, earlier):
        self.earlier = earlier
        self.hosts = []
        self.requests = 0

    async def __aenter__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = PlatformStore()
        await self.store.start()
        self.store.put('config', 'main', self._manifest())
        self.targets = [
            CrashingTarget(f'lepu-{number}', zone=ZONE, service='lepu')
            for number in range(TARGETS)
        ]
        for target in self.targets:
            await target.start(self.store)
        names = [f'attiki-{number}' for number in range(3)]
        # Ports outside the ephemeral range, since replaced hosts have to listen on them again.
        network = f'127.{40 + os.getpid() % 200}.{next(FLEET_NUMBERS) % 256}'
        all_settings = [
            self._settings(name, f'{network}.{number}')
            for number, name in enumerate(names, start=1)
        ]
        seeds = [settings['peer_address'] for settings in all_settings]
        for name, settings in zip(names, all_settings, strict=True):
            settings['seeds'] = seeds
            host = HostOfVersion(name=name, folder=self.folder.name, settings=settings)
            self.hosts.append(host)
        for host, source in zip(
            self.hosts, [self.earlier, self.earlier, ROOT / 'src'], strict=True
        ):
            host.start(source)
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            host.end()
        for target in self.targets:
            target.upstream.stop()
        await self.store.stop()
        self.folder.cleanup()

    async def look_up(self, host):
        path = f'/balsamrail/resolve?name={HOST_NAME}&region=attiki&zone={ZONE}'
        body = await self._fetch(host.settings['lookup_address'], path)
        return sorted(json.loads(body)['addresses']) if body else []

    async def until_all_named(self):
        expected = sorted(host.settings['caller_address'] for host in self.hosts)
        for host in self.hosts:
            while await self.look_up(host) != expected:
                for each in self.hosts:
                    each.check_running()
                await asyncio.sleep(0.1)

    async def send_deadly(self, host):
        """Send the request and return the status and the code of the answer."""
        self.requests += 1
        headers = {
            'Host': HOST_NAME,
            'X-Request-Id': f'r-{self.requests}',
            'X-Timeout-Ms': '2000',
        }
        url = f'http://{host.settings["caller_address"]}{DEADLY}'
        request = HTTPRequest(url, method='POST', body=b'same', headers=headers, request_timeout=5)
        answer = await AsyncHTTPClient(force_instance=True).fetch(request, raise_error=False)
        # Time for the other hosts to hear of a crash.
        await asyncio.sleep(0.7)
        code = json.loads(answer.body).get('code') if answer.code >= 400 else None
        return answer.code, code

    def crashed(self):
        return sum(target.has_crashed for target in self.targets)

    def invalid_streams(self):
        return [
            line
            for host in self.hosts
            for line in host.log.read_text().splitlines()
            if 'event=peer_stream_invalid' in line
        ]

    async def _fetch(self, address, path):
        with contextlib.suppress(OSError):
            request = HTTPRequest(f'http://{address}{path}', request_timeout=2)
            answer = await AsyncHTTPClient(force_instance=True).fetch(request, raise_error=False)
            return answer.body if answer.code == 200 else b''
        return b''

    def _settings(self, name, number):
        addresses = ('caller', 'readiness', 'lookup', 'peer', 'operator')
        return process_settings(
            host=name,
            **{f'{each}_address': f'{number}:{8_000 + n}' for n, each in enumerate(addresses)},
            availability_zone=ZONE,
            region_by_availability_zone={ZONE: 'attiki'},
            store={'address': self.store.address, 'timeout_s': 1},
            limits={'heartbeat_s': 0.5, 'suspect_after_s': 1.5, 'gone_after_s': 0.5},
        )

    def _manifest(self):
        document = manifest(3)
        (read,) = [item for item in document['resources'] if item['entryKind'] == 'routes']
        write = {**read['spec'], 'pathPrefix': '/write/', 'kind': 'non_idempotent'}
        document['resources'].append(
            {'entryKind': 'routes', 'metadata': {'name': 'w'}, 'spec': write}
        )
        return document


@given('two hosts of the version before and one of this version')
def step_mixed(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    if not extract_earlier_sources(folder.name):
        context.scenario.skip(f'the history has no commit {EARLIER_COMMIT}')
        return
    context.acts = []
    context.earlier = Path(folder.name) / 'src'


# The steps collect what is to be done, and the last one plays it on one fleet.
@then('each of them names all three, and none has closed a stream as invalid')
def step_named(context):
    async def act(fleet):
        await fleet.until_all_named()
        assert not fleet.invalid_streams(), fleet.invalid_streams()

    context.acts.append(act)


@when('a request crashes 3 targets at {where}')
def step_crash(context, where):
    async def act(fleet):
        old, _, new = fleet.hosts
        senders = [new] * 3
        if where != 'the host of this version':
            senders = [old, new, old]
            await asyncio.sleep(EARLIER_CONTACT_S)
        for host in senders:
            await fleet.send_deadly(host)
        assert fleet.crashed() == 3, fleet.crashed()

    context.acts.append(act)


@when('the hosts of the version before are replaced one after the other')
def step_replace(context):
    async def act(fleet):
        for host in fleet.hosts[:2]:
            host.end()
            host.start(ROOT / 'src')
            await fleet.until_all_named()

    context.acts.append(act)


@then('all hosts refuse the request, and 3 targets have crashed')
def step_refuse(context):
    async def act(fleet):
        answers = [await fleet.send_deadly(host) for host in fleet.hosts]
        assert answers == [(503, 'quarantined')] * 3, answers
        assert fleet.crashed() == 3, fleet.crashed()

    context.acts.append(act)
    if len(context.acts) < 6:
        return

    async def play():
        async with MixedFleet(earlier=context.earlier) as fleet:
            for each in context.acts:
                await each(fleet)

    run_real(play(), limit_s=RUN_S)


@then(
    'the messages that this version adds nothing to are encoded as the version before encoded them'
)
def step_recorded(context):
    hello = Hello(
        host='attiki-1',
        incarnation='0' * 20,
        peer_address='10.0.0.1:1',
        caller_address='10.0.0.1:2',
        region='attiki',
        availability_zone='attiki-a',
        state='alive',
    )
    report = CrashReport(fingerprint=b'f' * 16, service='lepu', target='i-1', wall_s=1.5)
    heartbeat = Heartbeat(sequence=1, record_number=2, epoch_by_region={}, spare_by_resource={})
    encoded = {
        type(each).__name__: encode_message(each).hex() for each in (hello, report, heartbeat)
    }
    assert encoded == RECORDED, encoded
