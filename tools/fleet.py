"""An example deployment on loopback: store, upstreams and 9 hosts as separate processes."""

import contextlib
import http.client
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from tools.fleet_addresses import move_addresses

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / 'examples'
MAX_START_S = 30
MAX_STOP_S = 20


class Fleet:
    """Starts, stops, pauses and queries the processes of an example deployment.

    ::

        with Fleet(deployment='selokosmos', folder=folder, network=30) as fleet:
            fleet.start()
            fleet.submit()
            fleet.wait_ready()
            fleet.kill('attiki-a-1')

    :param folder: folder for settings, logs and execution logs.
    :param network: second octet of all addresses, with a free port range; ``None`` keeps the
        addresses of the example.
    :param limits: limits that override the defaults on all hosts.
    :param alone: a service each of whose targets runs in a separate process.
    :param behaviour: behaviour of all targets.

    ``offset`` is added to the ports of all addresses, so that fleets do not share addresses.
    """

    def __init__(
        self,
        *,
        deployment: str,
        folder: Path,
        network: int | None = None,
        limits: dict[str, Any] | None = None,
        alone: str | None = None,
        behaviour: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.alone = alone
        self.behaviour = behaviour or {}
        self._lock: socket.socket | None = None
        self.offset = 0
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        paths = sorted((EXAMPLES / deployment).glob('hosts/*.json'))
        documents = [json.loads(path.read_text()) for path in paths]
        declaration = json.loads((EXAMPLES / deployment / 'declaration.json').read_text())
        if network is not None:
            self._lock, self.offset = _free_offset(network)
            declaration, *documents = move_addresses(
                [declaration, *documents], network=network, offset=self.offset
            )
        self.declaration: dict[str, Any] = declaration
        self.settings_by_host = {document['host']: document for document in documents}
        for document in documents:
            if limits:
                document['limits'] = {**document.get('limits', {}), **limits}
        self.store_address = documents[0]['store']['address']

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *_: object) -> None:
        self.kill_all()

    @property
    def hosts(self) -> list[str]:
        """Names of all hosts."""
        return list(self.settings_by_host)

    def path(self, name: str) -> Path:
        """Return the path of the document with this name."""
        return self.folder / f'{name}.json'

    def write(self, name: str, document: Any) -> Path:
        """Write a document for a process and return its path."""
        self.path(name).write_text(json.dumps(document))
        return self.path(name)

    def start(self) -> None:
        """Start all processes."""
        self.start_platform()
        self.start_hosts()

    def start_platform(self) -> None:
        """Write all documents, start the store and the upstreams and wait until the store answers."""
        for name, document in {'declaration': self.declaration, **self.settings_by_host}.items():
            self.write(name, document)
        self.spawn('store', 'standins.store', '--port', self.store_address.rpartition(':')[2])
        for name in self.upstreams():
            self.start_upstream(name)
        self.wait_until('the store answers', self._store_answers)

    def start_hosts(self) -> None:
        """Start all hosts."""
        for host in self.hosts:
            self.start_host(host)

    def upstreams(self) -> list[str]:
        """Return the names of the processes that run targets: regions and single targets."""
        alone = self.declaration['services'][self.alone]['targets'] if self.alone else []
        return [*self.declaration['regions'], *(target['address'] for target in alone)]

    def start_upstream(self, name: str) -> None:
        """Start the targets of a region, or a single target by its address."""
        options = ['--declaration', str(self.path('declaration')), '--executions']
        options += [str(self.folder), '--behaviour', json.dumps(self.behaviour)]
        if name in self.declaration['regions']:
            options += ['--region', name, '--without', self.alone or '']
        else:
            options += ['--target', name]
        self.spawn(name, 'tools.demo_upstreams', *options)

    def start_host(self, host: str) -> None:
        """Start a host, as a new incarnation if it ran before."""
        self.spawn(host, 'balsamrail', 'node', '--settings', str(self.path(host)))

    def spawn(self, name: str, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a process whose output is appended to ``<name>.log``."""
        with (self.folder / f'{name}.log').open('ab') as log:
            # A separate session does not receive Ctrl-C, so that stop() controls the shutdown.
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                # The processes may outlive a launcher that is killed, and with them the lock.
                pass_fds=() if self._lock is None else (self._lock.fileno(),),
            )
        self.process_by_name[name] = process
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP or SIGTERM."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def terminate(self, name: str) -> tuple[int, float]:
        """Send SIGTERM; return the exit code and the duration of the shutdown in seconds."""
        started = time.monotonic()
        self.signal(name, signal.SIGTERM)
        code = self.process_by_name[name].wait(timeout=MAX_STOP_S)
        return code, time.monotonic() - started

    def submit(self, name: str = 'declaration', *options: str) -> subprocess.CompletedProcess[str]:
        """Run ``balsamrail submit`` on a written document."""
        host = self.hosts[0]
        command = ['submit', str(self.path(name)), '--settings', str(self.path(host)), *options]
        return subprocess.run(
            [sys.executable, '-m', 'balsamrail', *command],
            cwd=ROOT,
            check=False,
            capture_output=True,
            text=True,
        )

    def set_faults(self, **faults: Any) -> None:
        """Set faults of the store."""
        call(self.store_address, 'POST', '/faults', body=json.dumps(faults))

    def read(self, host: str, page: str) -> Any:
        """Return the operator page ``status`` or ``dump`` of a host, or ``None`` if it is down."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            return call(self.settings_by_host[host]['operator_address'], 'GET', f'/{page}')[1]
        return None

    def ready_hosts(self) -> list[str]:
        """Return the hosts that have a declaration in force."""
        statuses = {host: self.read(host, 'status') for host in self.hosts}
        return [
            host
            for host, status in statuses.items()
            if status and status['ready'] and status['services']
        ]

    def wait_ready(self, count: int | None = None) -> float:
        """Wait until all hosts, or ``count``, are ready; return the duration in seconds."""
        count = len(self.hosts) if count is None else count
        return self.wait_until('the hosts are ready', lambda: len(self.ready_hosts()) >= count)

    def wait_until(self, text: str, holds: Any, *, limit_s: float = MAX_START_S) -> float:
        """Wait until ``holds()`` is true; return the duration in seconds.

        :raises TimeoutError: if it took longer than ``limit_s``.
        """
        started = time.monotonic()
        while not holds():
            if time.monotonic() - started > limit_s:
                raise TimeoutError(f'{text}: not within {limit_s} s, logs: {self.folder}')
            time.sleep(0.05)
        return time.monotonic() - started

    def executions(self) -> list[dict[str, Any]]:
        """Return all executions of all targets, including those of killed targets."""
        by_number: dict[tuple[str, int], dict[str, Any]] = {}
        for path in self.folder.glob('executions-*.jsonl'):
            for line in path.read_text().splitlines():
                execution = json.loads(line)
                by_number[execution['address'], execution['number']] = execution
        return list(by_number.values())

    def stop(self) -> list[int]:
        """Stop all processes gracefully and return their exit codes."""
        for process in reversed(self.process_by_name.values()):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + MAX_STOP_S
        for name, process in reversed(self.process_by_name.items()):
            try:
                process.wait(timeout=max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                print(f'killed: {name}')
                self.kill(name)
        self._unlock()
        return [process.returncode for process in self.process_by_name.values()]

    def kill_all(self) -> None:
        """Kill all running processes."""
        for name, process in self.process_by_name.items():
            if process.poll() is None:
                self.kill(name)
        self._unlock()

    def _unlock(self) -> None:
        if self._lock is not None:
            self._lock.close()

    def _store_answers(self) -> bool:
        with contextlib.suppress(OSError):
            return call(self.store_address, 'GET', '/hosts')[0] == 200
        return False


def call(
    address: str, method: str, path: str, *, body: str | None = None, headers: Any = None
) -> tuple[int, Any]:
    """Send a request with a timeout of 5 s; return the status and the JSON body."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        text = response.read()
    finally:
        connection.close()
    return response.status, json.loads(text or b'null')


def _free_offset(network: int) -> tuple[socket.socket, int]:
    """Return a free port offset and the bound socket that reserves it against other fleets."""
    for offset in range(0, 1_000, 20):
        lock = socket.socket()
        try:
            lock.bind((f'127.{network}.0.1', 7_000 + offset))
        except OSError:
            lock.close()
        else:
            return lock, offset
    raise OSError(f'no free ports in 127.{network}.0.0/16')
