"""Stand-ins and process control shared by the scripts of the review.

The entry hosts run as separate processes with the command of the deploy file. The store is the
project's stand-in of the platform's store; targets and callers are small stand-ins of this module.
Every address is a loopback address with a free port.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path

from standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = 'review.example'
# Constants of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ALL_STATES = 0xFFFFFFFF
_ANY_COOKIE = 0xFFFFFFFF
CONTACT_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5
# The command of the deploy file, with the path of the settings file in its place.
HOST_COMMAND = ('python3', '-S', '-m', 'balsamrail.entry')
BOUNDS = {
    'contact_s': CONTACT_S,
    'drain_s': DRAIN_S,
    'config_apply_s': 2,
    'evacuate_s': 5,
    'stop_grace_s': GRACE_S,
    'retry_ratio': 0.2,
    'retry_slack': 58,
    'retry_window_s': 10,
    'cold_overage': 1.5,
    'cold_slack': 5,
    'lookup_ttl_s': 5,
    'max_shift': 0.15,
}


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def note(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


# Loopback addresses of this run, one for the targets and one for each host: connections leave from
# 127.0.0.1, so that none of them takes a port on which a host or a target listens.
_NETWORK = f'127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}'
_TARGETS = f'{_NETWORK}.1'
_host_numbers = itertools.count(2)


def free_addresses(count):
    """Return addresses of a new host, with ports that were free a moment ago."""
    number = f'{_NETWORK}.{next(_host_numbers)}'
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((number, 0))
        sockets.append(sock)
    addresses = [f'{number}:{sock.getsockname()[1]}' for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Host:
    """An entry host in a process of its own."""

    def __init__(self, *, name, zone, region, regions, folder, record):
        self.name = name
        self.zone = zone
        self.region = region
        self.regions = regions
        self.record = record
        (
            self.caller,
            self.readiness,
            self.lookup,
            self.peer,
            self.operator,
        ) = free_addresses(5)
        self.settings = Path(folder) / f'{name}.json'
        self.log_path = Path(folder) / f'{name}.log'
        self.process = None
        # When the process was last disturbed: started, or told to end.
        self.disturbed_at = 0.0

    def write_settings(self, *, store_address, seeds, is_first_start):
        document = {
            'deployment': 'review',
            'host': self.name,
            'region': self.region,
            'availability_zone': self.zone,
            'region_by_availability_zone': self.regions,
            'caller_address': self.caller,
            'readiness_address': self.readiness,
            'lookup_address': self.lookup,
            'peer_address': self.peer,
            'operator_address': self.operator,
            'seeds': seeds,
            'store': {
                'address': store_address,
                'target_heartbeat_s': HEARTBEAT_S,
                'timeout_s': 1.5,
            },
            'bounds': BOUNDS,
            'limits': {'heartbeat_s': 0.5, 'suspect_after_s': 1.5, 'gone_after_s': 0.5},
            'is_first_start': is_first_start,
            'memory_mb': 300,
        }
        self.settings.write_text(json.dumps(document))

    def start(self):
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [*HOST_COMMAND, str(self.settings)],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
            )
        self.disturbed_at = self.record.now()
        self.record.note(f'host {self.name} started')

    def signal(self, number):
        self.disturbed_at = self.record.now()
        self.record.note(f'host {self.name} gets {number.name}')
        self.process.send_signal(number)

    async def restart_gracefully(self):
        """Send SIGTERM, SIGKILL after the grace period, and start the process again."""
        self.signal(signal.SIGTERM)
        ends_at = self.record.now() + GRACE_S
        while self.process.poll() is None and self.record.now() < ends_at:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.record.note(f'host {self.name} ended with {self.process.returncode}')
        self.start()
        await self.wait_until_ready()

    async def wait_until_ready(self, limit_s=20.0):
        ends_at = self.record.now() + limit_s
        while self.record.now() < ends_at:
            if self.process.poll() is not None:
                raise CannotRun(f'{self.name} ended as it started')
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                answer = await call(self.readiness, 'GET', '/balsamrail/readyz', {}, timeout_s=1)
                if answer.status == 200:
                    self.record.note(f'host {self.name} is ready')
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} was not ready within {limit_s} s')

    def is_in_touch(self, at):
        """Return whether the process ran undisturbed for the contact time before a moment."""
        return self.process.poll() is None and at - self.disturbed_at >= CONTACT_S

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def owns_socket(self, inode):
        """Return whether a socket belongs to the process."""
        return inode in _socket_inodes(self.process.pid)


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    lines = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:] if line)
    return lines[0].split(' ', 2), {
        name.strip().lower(): value.strip() for name, _, value in pairs
    }


async def call(address, method, path, headers, *, body=b'', timeout_s=4.0):
    """Send a request on a new connection and return the answer.

    :raises asyncio.IncompleteReadError: if the connection ends without a complete answer.
    """
    number, port = address.split(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(number, int(port))
        try:
            sent = {'Host': HOST_NAME, 'Connection': 'close', **headers}
            if body:
                sent['Content-Length'] = str(len(body))
            head = ''.join(f'{name}: {text}\r\n' for name, text in sent.items())
            writer.write(f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body)
            start, found = await read_head(reader)
            whole = await reader.readexactly(int(found.get('content-length', '0')))
            return Answer(int(start[1]), found, whole)
        finally:
            writer.close()


class Caller:
    """Sends requests as clients do: an own id for each attempt, and the time that is left."""

    def __init__(self, *, record):
        self._record = record
        self._count = 0

    async def send(self, host, method, path, *, key='', body=b'', timeout_s=4.0, name='c'):
        """Return the id of the request and the status, 0 if there was no complete answer."""
        self._count += 1
        request_id = f'{name}-{self._count}'
        headers = {'X-Request-Id': request_id, 'X-Timeout-Ms': str(int(timeout_s * 1000))}
        if key:
            headers['Cookie'] = f'X-Affinity-Key={key}'
        self._record.note(f'caller sends {request_id} {method} {path} key={key} to {host.name}')
        try:
            answer = await call(
                host.caller, method, path, headers, body=body, timeout_s=timeout_s + 1
            )
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self._record.note(f'caller gets no answer to {request_id}: {error!r}')
            return request_id, None
        extra = {
            header: answer.headers[header]
            for header in ('x-response-signature', 'server-leaving', 'retry-after')
            if header in answer.headers
        }
        self._record.note(
            f'caller gets {answer.status} to {request_id} {extra} '
            f'{answer.body[:90] if answer.status >= 400 else ""}'
        )
        return request_id, answer


class Arrival:
    """A request that a target began to run."""

    def __init__(self, *, at, request_id, path, target, sender):
        self.at = at
        self.request_id = request_id
        self.path = path
        self.target = target
        # The name of the host that sent it, where the target has to know.
        self.sender = sender


class Target:
    """A target that keeps to the users' pages.

    It runs ``slots`` requests at a time, echoes the id of a request, signs its answers, tells its
    load, refuses requests for other targets with 421, and registers in the store.

    :param poison_path: a request with this path crashes the target that begins to run it; empty
        if there is none.
    :param keeps_id: whether the target starts again under the id that it had.
    :param owner_of: returns the name of the host that opened a connection; ``None`` if it does not
        matter.
    :param admits: returns whether a connection of a host comes through, by the host's name.
    """

    def __init__(
        self,
        *,
        target_id,
        service,
        zone,
        store,
        record,
        arrivals,
        work_s=0.05,
        slots=4,
        poison_path='',
        down_s=2.5,
        keeps_id=False,
        owner_of=None,
        admits=None,
    ):
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.arrivals = arrivals
        self.work_s = work_s
        self.slots = slots
        self.poison_path = poison_path
        self.down_s = down_s
        self.keeps_id = keeps_id
        self.owner_of = owner_of
        self.admits = admits
        self.is_leaving = False
        self.crashes = 0
        self.crashed_by = []
        self.address = ''
        self._boot = 0
        self._running = 0
        self._server = None
        self._writers = {}
        self._tasks = set()

    async def start(self):
        self._boot += 1
        if self._boot > 1 and not self.keeps_id:
            # Each start is a new boot with a new id.
            self.target_id = f'{self.target_id.split(".")[0]}.{self._boot}'
        number, port = self.address.split(':') if self.address else (_TARGETS, '0')
        self._server = await asyncio.start_server(self._serve, number, int(port))
        self.address = f'{number}:{self._server.sockets[0].getsockname()[1]}'
        self._born = int(time.time() * 1000)
        self.register('ready')
        self.record.note(f'target {self.target_id} of {self.service} started at {self.address}')

    def register(self, state):
        self.store.put(
            'servers',
            self.target_id,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': '1',
                'slots': self.slots,
                'state': state,
                'warmupLeftS': 0,
                'sequence': self._boot,
                'born': self._born,
            },
        )

    def close(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def reset_connections(self, host_name):
        """Reset the connections of a host."""
        for writer, sender in list(self._writers.items()):
            if sender == host_name:
                writer.transport.abort()

    def crash(self, request_id):
        """End at once; the entry lapses after three heartbeats, the target is back before or after."""
        self.crashes += 1
        old_id = self.target_id
        self.record.note(f'target {old_id} is crashed by {request_id}, {self._running} running')
        self.crashed_by.append((self.record.now(), request_id))
        self.close()
        self._keep(self._lapse(old_id))
        self._keep(self._come_back())

    async def _lapse(self, old_id):
        await asyncio.sleep(3 * HEARTBEAT_S)
        if old_id != self.target_id and old_id in self.store.objects.get('servers', {}):
            self.store.remove('servers', old_id)

    async def _come_back(self):
        await asyncio.sleep(self.down_s)
        await self.start()

    def _keep(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        sender = ''
        if self.owner_of is not None:
            sender = self.owner_of(writer)
        if self.admits is not None and not self.admits(sender):
            writer.transport.abort()
            return
        self._writers[writer] = sender
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    start, headers = await read_head(reader)
                    await reader.readexactly(int(headers.get('content-length', '0')))
                    await self._answer(start, headers, writer, sender)
                    await writer.drain()
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _answer(self, start, headers, writer, sender):
        common = {'X-Server-Load': f'{min(self._running, self.slots)},0,{self.slots}'}
        if self.is_leaving:
            common['Server-Leaving'] = '1'
        if start[1].startswith('/healthz'):
            status = 503 if self.is_leaving else 200
            _write(writer, status, b'', {**common, 'X-Instance-Id': self.target_id})
            return
        request_id = headers.get('x-request-id', '')
        common['X-Request-Id'] = request_id
        if headers.get('x-target-instance') != self.target_id:
            _write(writer, 421, b'', {**common, 'X-Not-Executed': '1'})
            return
        if self._running >= 3 * self.slots:
            _write(writer, 503, b'', {**common, 'X-Not-Executed': '1'})
            return
        arrival = Arrival(
            at=self.record.now(),
            request_id=request_id,
            path=start[1],
            target=self.target_id,
            sender=sender,
        )
        self.arrivals.append(arrival)
        self.record.note(f'target {self.target_id} of {self.service} runs {request_id} {start[1]}' + (f' from {sender}' if sender else ''))
        if self.poison_path and start[1] == self.poison_path:
            self.crash(request_id)
            raise ConnectionAbortedError
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        if writer.transport.is_closing():
            return
        _write(
            writer,
            200,
            request_id.encode(),
            {**common, 'X-Response-Signature': f'{self.target_id}.{request_id}'},
        )


def _write(writer, status, body, headers):
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    writer.write(f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n'.encode() + body)


def route(name, kind, services, *, timeout_s=2.0, attempts=2):
    """Return the entry of a route; ``services`` is one name, or weights by name."""
    spec = {
        'host': HOST_NAME,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutS': timeout_s,
        'aimS': timeout_s / 2,
        'priority': 0,
        'maxAttempts': attempts,
        'sticky': True,
    }
    if isinstance(services, str):
        spec['service'] = services
    else:
        spec['weightedServices'] = [
            {'service': service, 'weight': weight} for service, weight in services.items()
        ]
    return {'entryKind': 'routes', 'metadata': {'name': name}, 'spec': spec}


def manifest(version, routes, services):
    """Return a complete manifest."""
    spec = {'healthPath': '/healthz', 'maxConnections': 330, 'warmupS': 0, 'warmupPerS': 8}
    limits = {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 1_000_000,
        'headerTimeoutS': 5,
        'idleTimeoutS': 20,
    }
    return {
        'version': version,
        'resources': [
            *routes,
            *(
                {'entryKind': 'services', 'metadata': {'name': name}, 'spec': spec}
                for name in services
            ),
            {'entryKind': 'limits', 'metadata': {'name': 'limits'}, 'spec': limits},
        ],
    }


class Fleet:
    """The store, the targets and the hosts of a case; use it as an asynchronous context."""

    def __init__(self, *, folder, record, regions, hosts):
        self.record = record
        self.store = PlatformStore()
        self.arrivals = []
        self.targets = []
        self.hosts = [
            Host(
                name=name,
                zone=zone,
                region=regions[zone],
                regions=regions,
                folder=folder,
                record=record,
            )
            for name, zone in hosts.items()
        ]

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            host.end()
        for target in self.targets:
            for task in list(target._tasks):
                task.cancel()
            target.close()
        await self.store.stop()
        self.record.note('all processes ended')

    async def add_target(self, target_id, service, zone, **behaviour):
        target = Target(
            target_id=target_id,
            service=service,
            zone=zone,
            store=self.store,
            record=self.record,
            arrivals=self.arrivals,
            **behaviour,
        )
        await target.start()
        self.targets.append(target)
        return target

    def owner_of(self, writer):
        """Return the name of the host at the other end of a connection, empty if it is closed."""
        ends = (writer.get_extra_info('peername'), writer.get_extra_info('sockname'))
        try:
            inode = _connection_inode(*ends)
        except OSError:
            # There is no sock_diag here.
            inode = _listed_inode(*ends)
        return next((host.name for host in self.hosts if host.owns_socket(inode)), '')

    async def start_hosts(self):
        seeds = [host.peer for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(
                store_address=self.store.address, seeds=seeds, is_first_start=True
            )
            host.start()
        for host in self.hosts:
            await host.wait_until_ready()
        for host in self.hosts:
            host.write_settings(
                store_address=self.store.address, seeds=seeds, is_first_start=False
            )


def _connection_inode(local, peer):
    """Return the inode of the socket that one end of a loopback connection has, 0 if none is found.

    Asks the kernel for this one socket (sock_diag), since a list of all sockets is long on a busy
    machine.

    :param local: the address and port of that end.
    :param peer: those of the other end.
    """
    socket_id = (
        struct.pack('!HH', local[1], peer[1])
        + socket.inet_aton(local[0]).ljust(16, b'\0')
        + socket.inet_aton(peer[0]).ljust(16, b'\0')
        + struct.pack('=III', 0, _ANY_COOKIE, _ANY_COOKIE)
    )
    body = struct.pack('=BBBBI', socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL_STATES) + socket_id
    head = struct.pack('=IHHII', 16 + len(body), _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as diag:
        diag.settimeout(1)
        diag.send(head + body)
        answer = diag.recv(4096)
    kind = struct.unpack_from('=H', answer, 4)[0]
    # The inode is the last field of the message, behind the socket's id and four counters.
    return struct.unpack_from('=I', answer, 16 + 4 + 48 + 16)[0] if kind == _SOCK_DIAG_BY_FAMILY else 0


def _listed_inode(local, peer):
    """Do the same by the list of all sockets."""
    ends = tuple(
        f'{int.from_bytes(socket.inet_aton(address), "little"):08X}:{port:04X}'
        for address, port in (local, peer)
    )
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        row = line.split()
        if (row[1], row[2]) == ends:
            return int(row[9])
    return 0


def _socket_inodes(pid):
    inodes = set()
    with contextlib.suppress(OSError):
        for entry in Path(f'/proc/{pid}/fd').iterdir():
            with contextlib.suppress(OSError):
                link = os.readlink(entry)
                if link.startswith('socket:['):
                    inodes.add(int(link[len('socket:[') : -1]))
    return inodes


def run_case(case, script):
    """Run a case and return its exit code: 1 if the rule broke, 0 if it held, 2 if it did not run.

    :param case: called with the folder of the hosts, the record and whether to make trouble;
        returns whether the rule broke, and a sentence.
    """
    record = Record(Path(script).resolve().parent)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'trouble: {has_trouble}')
    try:
        with tempfile.TemporaryDirectory() as folder:
            is_broken, summary = asyncio.run(_in_time(case, folder, record, has_trouble))
    except (Exception, asyncio.CancelledError) as error:
        record.note(f'cannot run: {error!r}')
        print(f'cannot run: {error!r}')
        return 2
    finally_text = 'BROKEN' if is_broken else 'held'
    record.note(f'rule {finally_text}: {summary}')
    print(f'rule {finally_text}: {summary}')
    record.close()
    return 1 if is_broken else 0


async def _in_time(case, folder, record, has_trouble):
    # Whoever ends the script by SIGTERM leaves no process of it behind either.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(110):
        return await case(folder, record, has_trouble)
