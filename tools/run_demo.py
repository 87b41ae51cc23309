"""Run an example deployment on loopback: store, upstreams and 9 hosts as separate processes.

Submits the declaration, shows one look-up and one booking, and keeps running until Ctrl-C.
``--once`` exits after the booking.
"""

import argparse
import json
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from tools.fleet import MAX_START_S, Fleet, call

WRITES = {
    'selokosmos': ('bookings', '/bookings'),
    'suryatap': ('panelbook', '/swaps'),
}
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class Demo:
    def __init__(self, *, deployment: str, folder: Path) -> None:
        self.deployment = deployment
        self.fleet = Fleet(deployment=deployment, folder=folder)

    def submit(self) -> None:
        print('$ balsamrail submit declaration.json --settings SETTINGS', flush=True)
        completed = self.fleet.submit()
        print(completed.stdout + completed.stderr, end='', flush=True)
        if completed.returncode:
            raise SystemExit(f'expected exit code 0, got {completed.returncode}')

    def show_calls(self) -> None:
        service, path = WRITES[self.deployment]
        address = next(iter(self.fleet.settings_by_host.values()))['caller_address']
        status, answer = show(address, 'GET', f'/lookup/{service}')
        if status != 200:
            raise SystemExit(f'expected 200, got {status}')
        host = answer['hosts'][0]
        headers = {
            'Idempotency-Key': f'{host["key_prefix"]}.demo-1',
            'Content-Type': 'application/json',
        }
        started = time.monotonic()
        # Shares are not assigned yet right after the start, so requests are "not run".
        while not self.write(host['address'], f'/services/{service}{path}', headers):
            if time.monotonic() - started > MAX_START_S:
                raise SystemExit(f'not run within {MAX_START_S} s')

    def write(self, address: str, path: str, headers: dict[str, str]) -> bool:
        status, answer = show(address, 'POST', path, body='{"day":"2026-12-24"}', headers=headers)
        if status == 503 and answer['outcome'] == 'not_run':
            time.sleep(answer['retry_after_s'])
            return False
        if status != 200:
            raise SystemExit(f'expected 200, got {status}')
        return True

    def stop(self) -> None:
        codes = self.fleet.stop()
        print(f'{len(codes)} processes ended, exit codes {sorted(set(codes))}')


def show(address: str, method: str, path: str, **options: Any) -> tuple[int, Any]:
    started = time.perf_counter()
    status, answer = call(address, method, path, **options)
    elapsed_ms = 1_000 * (time.perf_counter() - started)
    print(f'\n{method} http://{address}{path} -> {status} in {elapsed_ms:.1f} ms')
    print(json.dumps(answer, indent=2), flush=True)
    return status, answer


def ignore_stop_signals() -> None:
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def interrupt(_: int, __: object) -> None:
    """Raise KeyboardInterrupt at the first signal; later ones do not interrupt the shutdown."""
    ignore_stop_signals()
    raise KeyboardInterrupt


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', choices=sorted(WRITES), default='selokosmos')
    parser.add_argument('--once', action='store_true', help='end after the booking')
    options = parser.parse_args()
    for number in STOP_SIGNALS:
        signal.signal(number, interrupt)
    with tempfile.TemporaryDirectory(prefix='balsamrail-demo-') as folder:
        demo = Demo(deployment=options.deployment, folder=Path(folder))
        try:
            demo.fleet.start()
            demo.submit()
            took = demo.fleet.wait_ready()
            print(
                f'{len(demo.fleet.hosts)} hosts serve the declaration {took:.1f} s after it was submitted'
            )
            demo.show_calls()
            if not options.once:
                print('\nrunning, Ctrl-C ends it', flush=True)
                signal.pause()
        except KeyboardInterrupt:
            print()
        finally:
            ignore_stop_signals()
            demo.stop()


if __name__ == '__main__':
    main()
