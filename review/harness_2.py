"""Stand-ins and helpers of the scripts in review/6 to review/10.

The store, the targets and the callers follow the users' pages (PROTOCOL.md). The hosts are the
project's own processes, started with the command of the deploy file. Only the standard library is
used.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
NAME = 'jepu9.example'
HEARTBEAT_S = 1.5
# The bounds of the small deployment selo-ops.
BOUNDS = {
    'contact_s': 3,
    'drain_s': 2,
    'config_apply_s': 2,
    'evacuate_s': 5,
    'stop_grace_s': 6,
    'retry_ratio': 0.2,
    'retry_slack': 58,
    'retry_window_s': 10,
    'cold_overage': 1.5,
    'cold_slack': 5,
    'lookup_ttl_s': 5,
    'max_shift': 0.15,
}
ZONES = {'athina-a': 'attiki', 'thess-a': 'makedonia', 'patra-a': 'peloponnisos'}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 67108864,
    'headerTimeoutS': 3,
    'idleTimeoutS': 15,
}


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._began = time.monotonic()

    def note(self, text):
        self._file.write(f'{time.monotonic() - self._began:8.3f} {text}\n')
        self._file.flush()


def free_addresses(number, count):
    """Return addresses with different ports that are free now on a loopback number."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((number, 0))
        return [f'{number}:{probe.getsockname()[1]}' for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def loopback_number(index):
    """Return a loopback number that differs from process to process."""
    return f'127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{index + 1}'


def split(address):
    number, _, port = address.rpartition(':')
    return number, int(port)


class Head:
    """A start line and fields by lower-case name; ``raw_path`` has the bytes as received."""

    def __init__(self, raw):
        lines = raw.split(b'\r\n')
        self.start = lines[0].split(b' ', 2)
        self.raw_path = self.start[1]
        self.fields = {}
        for line in lines[1:]:
            name, found, value = line.partition(b':')
            if found:
                self.fields[name.decode('latin-1').lower()] = value.decode('latin-1').strip()

    @property
    def status(self):
        return int(self.start[1])

    def get(self, name, default=''):
        return self.fields.get(name.lower(), default)


async def read_message(reader):
    """Return the head and the body of a request or of a response with a length."""
    head = Head((await reader.readuntil(b'\r\n\r\n'))[:-4])
    return head, await reader.readexactly(int(head.get('content-length', '0')))


def response(status, body=b'', **fields):
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {value}' for name, value in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Listener:
    """A TCP server whose connections carry requests with a length."""

    def __init__(self):
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self, number='127.0.0.1'):
        self._server = await asyncio.start_server(self._serve, number, 0, limit=1 << 20)
        self.address = f'{number}:{self._server.sockets[0].getsockname()[1]}'

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                if not await self.answer(head, body, writer):
                    return
                await writer.drain()
        except (
            OSError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Listener):
    """The platform's store: objects by kind and name, watches and conditional writes."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects = {}
        self._events = {}
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        metadata = {'name': name, 'revision': self.revision, 'created': 1, 'finalizers': []}
        stored = {'metadata': metadata, 'spec': spec}
        self.objects.setdefault(kind, {})[name] = stored
        self._publish(kind, stored, tombstone=False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            metadata = {**stored['metadata'], 'revision': self.revision}
            self._publish(kind, {**stored, 'metadata': metadata}, tombstone=True)

    def _publish(self, kind, stored, *, tombstone):
        event = {'object': stored, 'tombstone': tombstone}
        self._events.setdefault(kind, []).append((self.revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, head, body, writer):
        url = urlsplit(head.raw_path.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split('/')[3:]]
        status, payload = await self._answer(head.start[0].decode(), parts, query, body)
        writer.write(
            response(
                status,
                json.dumps(payload).encode(),
                Content_Type='application/json',
                Store_Era='1',
            )
        )
        return True

    async def _answer(self, method, parts, query, body):
        kind = parts[0]
        objects = self.objects.setdefault(kind, {})
        if len(parts) == 1 and method == 'GET':
            if 'watch' in query:
                return await self._watch(kind, int(query['watch']), int(query['waitMs']))
            names = sorted(name for name in objects if name > query.get('after', ''))
            items = [objects[name] for name in names[:500]]
            return 200, {
                'items': items,
                'hasMore': len(names) > 500,
                'storeRevision': self.revision,
            }
        sent = json.loads(body) if body else {}
        metadata = sent.get('metadata', {})
        name = metadata.get('name', '') if len(parts) == 1 else parts[1]
        known = objects.get(name)
        if method == 'GET':
            return (200, known) if known else (404, {})
        if method == 'POST':
            return (409, known) if known else (201, self.put(kind, name, sent.get('spec')))
        if known is None:
            return 404, {}
        condition = metadata.get('revision', query.get('revision'))
        if condition is not None and int(condition) != known['metadata']['revision']:
            return 409, known
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, known
        if known['spec'] == sent.get('spec'):
            return 200, known
        return 200, self.put(kind, name, sent.get('spec'))

    async def _watch(self, kind, revision, wait_ms):
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            found = [event for at, event in self._events.get(kind, []) if at > revision]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'storeRevision': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


class StorePort(Listener):
    """An address of the store for one host, whose path to the store can be cut for a while.

    During a cut nothing passes in either direction; what was sent arrives when the cut ends.
    """

    def __init__(self, store):
        super().__init__()
        self.watches = 0
        self._store = store
        self._path = asyncio.Event()
        self._path.set()

    def cut(self):
        self._path.clear()

    def restore(self):
        self._path.set()

    async def answer(self, head, body, writer):
        await self._path.wait()
        is_watch = b'watch=' in head.raw_path
        self.watches += is_watch
        try:
            answer = _Answer()
            await self._store.answer(head, body, answer)
        finally:
            self.watches -= is_watch
        await self._path.wait()
        writer.write(answer.data)
        return True


class _Answer:
    """Keeps the bytes of one answer."""

    data = b''

    def write(self, data):
        self.data += data


class Target(Listener):
    """A target that registers in the store, runs requests and says so in the record.

    :param run: takes the head and the body of a request, returns the bytes of the response; the
        default works for ``work_s`` and answers 200.
    """

    def __init__(self, *, target_id, service, zone, store, record, slots=6, work_s=0.02, run=None):
        super().__init__()
        self.target_id = target_id
        self.runs = []
        self.work_s = work_s
        self._service = service
        self._zone = zone
        self._store = store
        self._record = record
        self._run = run or self.run_well
        self._slots = slots
        self._free = asyncio.Semaphore(slots)

    async def start(self, number='127.0.0.1'):
        await super().start(number)
        # The entry changes only when more than its sequence does, so the pings of a target that
        # stays as it is make no event.
        self._store.put(
            'servers',
            self.target_id,
            {
                'service': self._service,
                'address': self.address,
                'zone': self._zone,
                'version': 'v1',
                'slots': self._slots,
                'state': 'ready',
                'warmupLeftS': 0,
                'sequence': 1,
                'born': 1_700_000_000_000,
            },
        )

    def withdraw(self):
        """Remove the entry without reporting ``draining``, and go on serving."""
        self._store.remove('servers', self.target_id)

    async def answer(self, head, body, writer):
        if head.raw_path.startswith(b'/healthz'):
            writer.write(response(200, b'ok', X_Instance_Id=self.target_id))
            return True
        if head.get('x-target-instance') != self.target_id:
            writer.write(response(421, b'', X_Instance_Id=self.target_id, X_Not_Executed='1'))
            return True
        self.runs.append((time.monotonic(), head, body))
        self._record.note(
            f'run at {self.target_id}: {head.start[0].decode()} {head.raw_path[:60]!r}'
            f' id={head.get("x-request-id")} body={len(body)}'
        )
        async with self._free:
            answer = await self._run(head, body)
        if answer is None:
            return False
        writer.write(answer)
        return True

    async def run_well(self, head, body):
        await asyncio.sleep(self.work_s)
        return response(
            200,
            b'done',
            X_Request_Id=head.get('x-request-id'),
            X_Response_Signature=f's-{head.get("x-request-id")}',
        )


class Host:
    """A host of the project as a process of its own."""

    def __init__(self, *, name, zone, index, folder, region_by_zone=None):
        self.name = name
        self.zone = zone
        self._region_by_zone = region_by_zone or ZONES
        number = loopback_number(index)
        self.caller, self.ready, self.lookup, self.peer, self.operator = free_addresses(number, 5)
        self._settings = Path(folder) / f'{name}.json'
        self._log_path = Path(folder) / f'{name}.log'
        self.process = None

    def start(self, *, store, seeds):
        document = {
            'deployment': 'platform',
            'host': self.name,
            'region': self._region_by_zone[self.zone],
            'availability_zone': self.zone,
            'region_by_availability_zone': self._region_by_zone,
            'caller_address': self.caller,
            'readiness_address': self.ready,
            'lookup_address': self.lookup,
            'peer_address': self.peer,
            'operator_address': self.operator,
            'seeds': seeds,
            'store': {
                'address': store.address,
                'target_heartbeat_s': HEARTBEAT_S,
                'timeout_s': 1.5,
            },
            'bounds': BOUNDS,
            'limits': {'heartbeat_s': 0.5, 'suspect_after_s': 1.5, 'gone_after_s': 0.5},
            'is_first_start': False,
            'memory_mb': 300,
            'max_descriptors': 4100,
        }
        self._settings.write_text(json.dumps(document), encoding='utf-8')
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['BALSAMRAIL_BOOT'] = str(self._settings)
        with self._log_path.open('ab') as log:
            # The command of deploy/system.toml.
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'balsamrail.entry', str(self._settings)],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def log_lines(self, *texts):
        """Return the log lines that contain all texts."""
        lines = self._log_path.read_text(encoding='utf-8', errors='replace').splitlines()
        return [line for line in lines if all(text in line for text in texts)]

    async def is_ready(self, *, timeout_s=1.0):
        """Return whether the readiness address answers 200 in time."""
        try:
            head, _ = await call(self.ready, path=b'/balsamrail/readyz', timeout_s=timeout_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return head.status == 200

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def call(
    address, *, path, method='GET', fields=None, body=b'', timeout_s=5.0, host=NAME
):
    """Send one request on a new connection; return the head and the body of the answer."""
    return await asyncio.wait_for(
        _call(address, path, method, fields or {}, body, host), timeout_s
    )


async def _call(address, path, method, fields, body, host):
    reader, writer = await asyncio.open_connection(*split(address), limit=1 << 20)
    try:
        writer.write(request(path=path, method=method, fields=fields, body=body, host=host))
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()


def request(*, path, method='GET', fields=None, body=b'', host=NAME):
    lines = [method.encode() + b' ' + path + b' HTTP/1.1', f'Host: {host}'.encode()]
    lines += [f'{name}: {value}'.encode() for name, value in (fields or {}).items()]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}'.encode())
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def resource(kind, name, spec):
    return {'entryKind': kind, 'metadata': {'name': name}, 'spec': spec}


def route(name, prefix, service, *, kind, timeout_s=3.0, aim_s=0.6, attempts=2, priority=1):
    spec = {
        'host': NAME,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutS': timeout_s,
        'aimS': aim_s,
        'priority': priority,
        'service': service,
        'maxAttempts': attempts,
        'sticky': True,
        'allowedRegions': [],
    }
    return resource('routes', name, spec)


def manifest(version, routes, services):
    spec = {'healthPath': '/healthz', 'maxConnections': 330, 'warmupS': 3.0, 'warmupPerS': 8.0}
    return {
        'version': version,
        'resources': [
            *routes,
            *(resource('services', name, spec) for name in services),
            {'entryKind': 'limits', 'metadata': {}, 'spec': LIMITS},
        ],
    }


class Deployment:
    """A store, targets and hosts of one case; ends all of them."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store()
        self.targets = []
        self.hosts = []
        self._folder = tempfile.TemporaryDirectory(prefix='review-')

    async def add_target(self, target_id, service, zone, **options):
        target = Target(
            target_id=target_id,
            service=service,
            zone=zone,
            store=self.store,
            record=self.record,
            **options,
        )
        await target.start()
        self.targets.append(target)
        return target

    def add_host(self, name, zone, *, region_by_zone=None):
        host = Host(
            name=name,
            zone=zone,
            index=len(self.hosts),
            folder=self._folder.name,
            region_by_zone=region_by_zone,
        )
        self.hosts.append(host)
        return host

    async def start_hosts(self):
        """Start all hosts; return whether all were ready in time."""
        seeds = [host.peer for host in self.hosts[:3]]
        for host in self.hosts:
            host.start(store=self.store, seeds=seeds)
        ends_at = time.monotonic() + 20
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > ends_at:
                    return False
                await asyncio.sleep(0.1)
        # Members and targets are known to all hosts by then.
        await asyncio.sleep(4)
        return True

    def end(self):
        for host in self.hosts:
            host.end()
        for target in self.targets:
            target.stop()
        self.store.stop()
        self._folder.cleanup()


def run_case(folder, play):
    """Play a case; ``play`` gets a deployment and returns the exit code."""

    async def run():
        deployment = Deployment(folder)
        try:
            await deployment.store.start()
            return await asyncio.wait_for(play(deployment), 110)
        except Exception as error:
            deployment.record.note(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            deployment.end()

    # The processes of the case end with it, also if it is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    if not (ROOT / 'target' / 'deps' / 'balsamrail').is_dir():
        return NOT_RUN
    return asyncio.run(run())
