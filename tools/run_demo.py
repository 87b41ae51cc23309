"""Runs an example deployment on loopback: store, upstreams and 9 hosts as separate processes.

It submits the declaration, shows one look-up and one booking, and stays up until Ctrl-C.
``--once`` ends after the booking.
"""

import argparse
import contextlib
import http.client
import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LONGEST_START_S = 30
LONGEST_STOP_S = 20
WRITES = {
    'selokosmos': ('bookings', '/bookings'),
    'suryatap': ('panelbook', '/swaps'),
}


class Demo:
    def __init__(self, *, deployment: str, logs: Path) -> None:
        self.folder = ROOT / 'examples' / deployment
        self.deployment = deployment
        self.logs = logs
        self.settings = [
            json.loads(path.read_text()) for path in sorted(self.folder.glob('hosts/*.json'))
        ]
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        declaration = self.folder / 'declaration.json'
        store_port = self.settings[0]['store']['address'].rpartition(':')[2]
        self.spawn('store', 'standins.store', '--port', store_port)
        for region in sorted({host['region'] for host in self.settings}):
            arguments = ('--declaration', str(declaration), '--region', region)
            self.spawn(f'upstreams-{region}', 'tools.demo_upstreams', *arguments)
        self.wait_until('the store answers', lambda: self.store_answers())
        for host in self.settings:
            path = self.folder / 'hosts' / f'{host["host"]}.json'
            self.spawn(host['host'], 'balsamrail', 'node', '--settings', str(path))

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        with (self.logs / f'{name}.log').open('wb') as log:
            # A session of its own keeps Ctrl-C away from it: stop() ends it in order.
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        self.processes.append(process)

    def wait_until(self, text: str, holds) -> float:
        started = time.monotonic()
        while not holds():
            if time.monotonic() - started > LONGEST_START_S:
                raise SystemExit(f'{text}: not within {LONGEST_START_S} s, logs: {self.logs}')
            for process in self.processes:
                if process.poll() is not None:
                    command = ' '.join(process.args[2:])
                    raise SystemExit(f'{command} ended with {process.returncode}: {self.logs}')
            time.sleep(0.05)
        return time.monotonic() - started

    def store_answers(self) -> bool:
        with contextlib.suppress(OSError):
            return call(self.settings[0]['store']['address'], 'GET', '/hosts')[0] == 200
        return False

    def ready_hosts(self) -> int:
        ready = 0
        for host in self.settings:
            with contextlib.suppress(OSError):
                _, status = call(host['operator_address'], 'GET', '/status')
                ready += bool(status['ready'] and status['services'])
        return ready

    def submit(self) -> None:
        settings = self.folder / 'hosts' / f'{self.settings[0]["host"]}.json'
        declaration = self.folder / 'declaration.json'
        files = [str(path.relative_to(ROOT)) for path in (declaration, settings)]
        command = ['submit', files[0], '--settings', files[1]]
        print(f'$ balsamrail {" ".join(command)}', flush=True)
        subprocess.run([sys.executable, '-m', 'balsamrail', *command], cwd=ROOT, check=True)

    def show_calls(self) -> None:
        service, path = WRITES[self.deployment]
        address = self.settings[0]['caller_address']
        status, answer = show(address, 'GET', f'/lookup/{service}')
        if status != 200:
            raise SystemExit(f'expected 200, got {status}')
        host = answer['hosts'][0]
        headers = {
            'Idempotency-Key': f'{host["key_prefix"]}.demo-1',
            'Content-Type': 'application/json',
        }
        started = time.monotonic()
        # Right after the start the shares are not dealt out yet and requests are "not run".
        while not self.write(host['address'], f'/services/{service}{path}', headers):
            if time.monotonic() - started > LONGEST_START_S:
                raise SystemExit(f'not run within {LONGEST_START_S} s')

    def write(self, address: str, path: str, headers: dict[str, str]) -> bool:
        status, answer = show(address, 'POST', path, body='{"day":"2026-12-24"}', headers=headers)
        if status == 503 and answer['outcome'] == 'not_run':
            time.sleep(answer['retry_after_s'])
            return False
        if status != 200:
            raise SystemExit(f'expected 200, got {status}')
        return True

    def stop(self) -> None:
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + LONGEST_STOP_S
        for process in reversed(self.processes):
            try:
                process.wait(timeout=max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                print(f'killed: {" ".join(process.args[2:])}')
                process.kill()
                process.wait()
        codes = {process.returncode for process in self.processes}
        print(f'{len(self.processes)} processes ended, exit codes {sorted(codes)}')


def call(
    address: str, method: str, path: str, *, body: str | None = None, headers: Any = None
) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        text = response.read()
    finally:
        connection.close()
    return response.status, json.loads(text or b'null')


def show(address: str, method: str, path: str, **options: Any) -> tuple[int, Any]:
    started = time.perf_counter()
    status, answer = call(address, method, path, **options)
    elapsed_ms = 1_000 * (time.perf_counter() - started)
    print(f'\n{method} http://{address}{path} -> {status} in {elapsed_ms:.1f} ms')
    print(json.dumps(answer, indent=2), flush=True)
    return status, answer


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', choices=sorted(WRITES), default='selokosmos')
    parser.add_argument('--once', action='store_true', help='end after the booking')
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix='balsamrail-demo-') as folder:
        demo = Demo(deployment=options.deployment, logs=Path(folder))
        try:
            demo.start()
            demo.submit()
            hosts = len(demo.settings)
            took = demo.wait_until('all hosts are ready', lambda: demo.ready_hosts() == hosts)
            print(f'{hosts} hosts serve the declaration {took:.1f} s after it was submitted')
            demo.show_calls()
            if not options.once:
                print('\nrunning, Ctrl-C ends it', flush=True)
                signal.pause()
        except KeyboardInterrupt:
            print()
        finally:
            demo.stop()


if __name__ == '__main__':
    main()
