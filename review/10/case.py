"""Processes are killed as a target leaves; how long do the other hosts use this target?"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness_2 as h

REGION_BY_ZONE = {
    'athina-a': 'attiki',
    'athina-b': 'attiki',
    'thess-a': 'makedonia',
    'patra-a': 'peloponnisos',
}
# In a region of more than three hosts, two watch the store for all; in the others all do.
HOSTS_BY_ZONE = {'athina-a': 4, 'athina-b': 4, 'thess-a': 2, 'patra-a': 2}
TARGETS = 6
CONTACT_S = h.BOUNDS['contact_s']
DRAIN_S = h.BOUNDS['drain_s']
# The platform starts a killed process again after this time.
RESTART_S = 0.5
# The target leaves this long after the kill.
AFTER_S = 0.1
# How long the target goes on serving after its entry is gone.
SERVES_S = 8.0
CALLERS_PER_HOST = 2
PAUSE_S = 0.03


async def play(deployment):
    record = deployment.record
    routes = [h.route('look', '/diary/', 'diary', kind='idempotent')]
    deployment.store.put('config', 'main', h.manifest(7, routes, ['diary']))
    for number in range(TARGETS):
        zone = ('athina-a', 'athina-b')[number % 2]
        await deployment.add_target(f'i-diary-{number}', 'diary', zone, work_s=0.01)
    ports = {}
    for zone, count in HOSTS_BY_ZONE.items():
        for number in range(count):
            host = deployment.add_host(
                f'edge-{zone}-{number}', zone, region_by_zone=REGION_BY_ZONE
            )
            ports[host] = h.StorePort(deployment.store)
            await ports[host].start()
    seeds = [host.peer for host in deployment.hosts[:3]]
    for host in deployment.hosts:
        host.start(store=ports[host], seeds=seeds)
    watchers = await settled_watchers(ports)
    if watchers is None:
        return h.NOT_RUN
    others = [host for host in deployment.hosts if in_attiki(host) and host not in watchers]
    record.note(f'killed: {[host.name for host in watchers]}')
    stopped = asyncio.Event()
    callers = [
        asyncio.create_task(call_often(host, record, number, stopped))
        for host in others
        for number in range(CALLERS_PER_HOST)
    ]
    # All machines are in touch by then.
    await asyncio.sleep(CONTACT_S + 1)
    if h.HAS_TROUBLE:
        for host in watchers:
            host.end()
        record.note('both processes are killed')
    await asyncio.sleep(AFTER_S)
    leaving = deployment.targets[0]
    leaving.withdraw()
    left_at = time.monotonic()
    record.note(f'{leaving.target_id} removes its entry and goes on serving')
    await asyncio.sleep(RESTART_S - AFTER_S)
    if h.HAS_TROUBLE:
        for host in watchers:
            host.start(store=ports[host], seeds=seeds)
        record.note('both are started again')
    await asyncio.sleep(max(0, left_at + SERVES_S - time.monotonic()))
    stopped.set()
    await asyncio.gather(*callers)

    late = [
        (at - left_at, head.get('x-request-id'))
        for at, head, _ in leaving.runs
        if at > left_at + DRAIN_S and sent_at[head.get('x-request-id')] > left_at + DRAIN_S
    ]
    for after_s, request_id in late:
        record.note(f'{request_id} reached {leaving.target_id} {after_s:.2f} s after it left')
    before = sum(at < left_at for at, _, _ in leaving.runs)
    record.note(f'requests at {leaving.target_id} before it left: {before}')
    record.note(
        f'requests sent and arrived there later than drainS ({DRAIN_S} s) after it left: {len(late)}'
    )
    if not before:
        return h.NOT_RUN
    return h.BROKEN if late else h.HELD


sent_at = {}


def in_attiki(host):
    return REGION_BY_ZONE[host.zone] == 'attiki'


async def settled_watchers(ports):
    """Return the two hosts of the large region that watch the store once there are only these."""
    began = time.monotonic()
    while time.monotonic() < began + 30:
        await asyncio.sleep(0.5)
        if not all([await host.is_ready() for host in ports]):
            continue
        watchers = [host for host, port in ports.items() if port.watches and in_attiki(host)]
        if len(watchers) == 2 and time.monotonic() > began + 8:
            return watchers
    return None


async def call_often(host, record, caller, stopped):
    """Send one look-up after the other, each for another object, until told to stop."""
    number = 0
    while not stopped.is_set():
        number += 1
        request_id = f'{host.name}-{caller}-{number}'
        fields = {
            'X-Request-Id': request_id,
            'X-Timeout-Ms': '3000',
            'Cookie': f'X-Affinity-Key={caller}-{number}',
        }
        sent_at[request_id] = time.monotonic()
        try:
            head, _ = await h.call(host.caller, path=f'/diary/{number}'.encode(), fields=fields)
            if head.status != 200:
                record.note(f'{request_id}: {head.status}')
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            record.note(f'{request_id}: {error!r}')
        await asyncio.sleep(PAUSE_S)


sys.exit(h.run_case(Path(__file__).resolve().parent, play))
