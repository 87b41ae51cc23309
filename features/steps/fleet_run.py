"""A fleet under load from callers, and checks of the recorded history."""

import json
import tempfile
import time
from collections import Counter, defaultdict
from hashlib import blake2b
from pathlib import Path

from history import Call, History, Run

from standins.execution import Execution
from tools.fleet import Fleet, call

NETWORK = 30


def body_digest(body):
    return blake2b(body.encode(), digest_size=16).hexdigest()


class FleetRun:
    def __init__(self, context, **options):
        folder = tempfile.TemporaryDirectory(prefix='balsamrail-fleet-')
        context.stoppers = [folder.cleanup]
        # The stand-ins queue practically without limit, so that a region that exceeds its slots is
        # detected instead of refused.
        behaviour = {'queue': 10_000, 'service_time_s': 0.05, **options.pop('behaviour', {})}
        self.fleet = Fleet(
            deployment='selokosmos',
            folder=Path(folder.name),
            network=NETWORK,
            behaviour=behaviour,
            **options,
        )
        context.stoppers.append(self.fleet.kill_all)
        self.seed = context.seed
        self.callers = []
        self.started = time.monotonic()

    def start(self):
        self.fleet.start_platform()
        completed = self.fleet.submit()
        assert completed.returncode == 0, completed.stderr
        self.fleet.start_hosts()
        self.fleet.wait_ready()
        for host in self.fleet.hosts:
            self.fleet.wait_until(f'{host} has shares', lambda: self.reads(host))

    def reads(self, host):
        address = self.fleet.settings_by_host[host]['caller_address']
        return call(address, 'GET', '/services/bookings/bookings')[0] == 200

    def book(self, host, *, key, body):
        address = self.fleet.settings_by_host[host]['caller_address']
        headers = {'Idempotency-Key': key}
        return call(address, 'POST', '/services/bookings/bookings', body=body, headers=headers)

    def load(self, seconds, *, rate=80, **options):
        """Start a caller process; its sends are available after :meth:`end_load`."""
        number = len(self.callers)
        addresses = [entry['caller_address'] for entry in self.fleet.settings_by_host.values()]
        hosts = self.fleet.write('callers', addresses)
        out = self.fleet.folder / f'calls-{number}.jsonl'
        arguments = ['--fleet', str(hosts), '--out', str(out), '--seconds', str(seconds)]
        arguments += ['--rate', str(rate), '--seed', str(self.seed + number)]
        for name, value in options.items():
            arguments += [f'--{name.replace("_", "-")}', str(value)]
        process = self.fleet.spawn(f'caller-{number}', 'tools.caller', *arguments)
        self.callers.append((process, out))

    def end_load(self):
        for process, out in self.callers:
            code = process.wait(timeout=90)
            assert code == 0, out.with_name(
                f'{out.stem.replace("calls", "caller")}.log'
            ).read_text()

    def sends(self):
        return [
            json.loads(line) for _, out in self.callers for line in out.read_text().splitlines()
        ]

    def history(self):
        calls = []
        for send in self.sends():
            # A host may continue after the caller's connection broke, so the end is unknown.
            returned = 0 if send['told'] == 'gone' else send['returned']
            calls.append(
                Call(
                    key=send['key'],
                    called=send['called'],
                    returned=returned,
                    told=send['told'],
                    body=send['body'].encode(),
                )
            )
        runs = [
            Run(
                key=execution['idempotency_key'] or execution['path'],
                began=execution['began_s'],
                body=Execution(**execution).answer(),
            )
            for execution in self.fleet.executions()
        ]
        return History(calls=calls, runs=runs)

    def check(self):
        """Check the history and the load of each region; return a summary line."""
        history = self.history()
        # Reads may run again at another target; otherwise they are checked like bookings.
        faults = [
            line for line in history.faults() if not line.startswith('/') or 'ran' not in line
        ]
        assert not faults, (len(faults), self.trace(faults[0]))
        told = Counter(entry.told for entry in history.calls)
        assert told['done'], told
        peaks = self.peaks()
        over = {place: peak for place, peak in peaks.items() if peak[0] > peak[1]}
        assert not over, f'in progress above the slots, at s: {over}'
        bookings = {place[1]: peak for place, peak in peaks.items() if place[0] == 'bookings'}
        seconds = time.monotonic() - self.started
        return (
            f'seed {self.seed}: {len(history.calls)} sends {dict(told)}, {len(history.runs)} runs,'
            f' peak, slots, at s {bookings}, share epochs {self.epochs()}, {seconds:.1f} s'
        )

    def epochs(self):
        self.fleet.set_faults(down=False, delay_s=0, lose_answers=0)
        objects = [f'/objects/shares/{region}' for region in self.fleet.declaration['regions']]
        return [
            call(self.fleet.store_address, 'GET', name)[1]['value']['epoch'] for name in objects
        ]

    def trace(self, fault):
        """Return the fault with all sends and runs of its key in chronological order."""
        key = fault.split(': ')[0]
        sends = [(send['called'], send) for send in self.sends() if send['key'] == key]
        executions = self.fleet.executions()
        runs = [(run['began_s'], run) for run in executions if run['idempotency_key'] == key]
        return '\n'.join(
            [fault, *(str(entry) for _, entry in sorted(sends + runs, key=lambda e: e[0]))]
        )

    def peaks(self):
        """Return the peak of requests in progress, the slots and the time of the peak, by place."""
        slots, region_by_address = Counter(), {}
        for service, declared in self.fleet.declaration['services'].items():
            for target in declared['targets']:
                region = target['availability_zone'].rsplit('-', 1)[0]
                region_by_address[target['address']] = region
                slots[service, region] += target['slots']
        changes = defaultdict(list)
        for execution in self.fleet.executions():
            place = execution['service'], region_by_address[execution['address']]
            changes[place].append((execution['arrived_s'], 1))
            changes[place].append((execution['ended_s'] or float('inf'), -1))
        peaks = {}
        for place, entries in changes.items():
            running, peak = 0, (0, 0)
            for instant, change in sorted(entries):
                running += change
                peak = max(peak, (running, instant), key=lambda entry: entry[0])
            peaks[place] = (peak[0], slots[place], round(peak[1] - self.started, 2))
        return peaks
