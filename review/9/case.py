"""A host restarts while two others are cut off from the store; does it use a target that has left?"""

import asyncio
import json
import signal
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
HOSTS_BY_ZONE = {'athina-a': 3, 'athina-b': 3, 'thess-a': 2, 'patra-a': 2}
TARGETS = 6
CONTACT_S = h.BOUNDS['contact_s']
DRAIN_S = h.BOUNDS['drain_s']
LOOKS = 60
# After this time a host that is cut off has noticed it, and is not replaced as a watcher yet.
BLIND_S = 1.15
SETTLED_S = 6.0


async def play(deployment):
    record = deployment.record
    routes = [h.route('look', '/diary/', 'diary', kind='idempotent')]
    deployment.store.put('config', 'main', h.manifest(7, routes, ['diary']))
    for number in range(TARGETS):
        zone = ('athina-a', 'athina-b')[number % 2]
        await deployment.add_target(f'i-diary-{number}', 'diary', zone)
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
    restarted = next(host for host in deployment.hosts if in_attiki(host) and host not in watchers)
    record.note(f'watch the store: {[host.name for host in watchers]}; restarts: {restarted.name}')
    for host in deployment.hosts:
        await look(host, record, f'before-{host.name}')

    # A first restart shows how long this machine takes to start a process.
    starts_in_s = await restart(restarted, ports[restarted], seeds)
    record.note(f'{restarted.name} starts in {starts_in_s:.2f} s')
    await asyncio.sleep(SETTLED_S)

    await stop(restarted)
    cut_at = time.monotonic()
    if h.HAS_TROUBLE:
        for host in watchers:
            ports[host].cut()
        record.note('both are cut off from the store')
    await asyncio.sleep(max(0, BLIND_S - starts_in_s))
    restarted.start(store=ports[restarted], seeds=seeds)
    record.note(f'{restarted.name} starts again')
    await wait_for_listing(restarted)
    leaving = deployment.targets[0]
    leaving.withdraw()
    withdrawn_at = time.monotonic()
    record.note(f'{leaving.target_id} removes its entry and goes on serving')
    await asyncio.sleep(0.1)
    for port in ports.values():
        port.restore()
    ended_at = time.monotonic()
    if h.HAS_TROUBLE:
        record.note(f'the cut ends after {ended_at - cut_at:.2f} s')
    ready_by = time.monotonic() + 10
    while not await restarted.is_ready():
        if time.monotonic() > ready_by:
            return h.NOT_RUN
        await asyncio.sleep(0.05)
    record.note(f'{restarted.name} is ready')

    # From now on the machine is in touch, and the target's leaving binds it.
    await asyncio.sleep(CONTACT_S + 1)
    began = time.monotonic()
    assert began > withdrawn_at + DRAIN_S and began > ended_at + CONTACT_S
    count = len(leaving.runs)
    for number in range(LOOKS):
        await look(restarted, record, number)
    reached = len(leaving.runs) - count
    record.note(
        f'requests that reached {leaving.target_id} {began - withdrawn_at:.1f} s and more after its'
        f' entry was removed: {reached} of {LOOKS}'
    )
    return h.BROKEN if reached else h.HELD


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


async def stop(host):
    host.signal(signal.SIGTERM)
    while host.process.poll() is None:
        await asyncio.sleep(0.02)


async def restart(host, port, seeds):
    """Stop a host in order and start it again; return when it answers its operators."""
    await stop(host)
    began = time.monotonic()
    host.start(store=port, seeds=seeds)
    while await dump(host) is None:
        await asyncio.sleep(0.02)
    return time.monotonic() - began


async def dump(host):
    """Return the operators' page on what a host follows, None if it does not answer."""
    try:
        _, body = await h.call(host.operator, path=b'/dump', timeout_s=1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    return json.loads(body)['watch']['follows']


async def wait_for_listing(host):
    """Wait until a watcher has sent a host its copy of the store's objects, or some time."""
    ends_at = time.monotonic() + 5
    while await dump(host) is None and time.monotonic() < ends_at:
        await asyncio.sleep(0.02)
    ends_at = time.monotonic() + 0.4
    while time.monotonic() < ends_at:
        # One message for each of three kinds.
        if any(source['number'] >= 3 for source in (await dump(host) or {}).values()):
            return
        await asyncio.sleep(0.02)


async def look(host, record, number):
    fields = {
        'X-Request-Id': f'look-{number}',
        'X-Timeout-Ms': '3000',
        'Cookie': f'X-Affinity-Key={number}',
    }
    try:
        head, _ = await h.call(host.caller, path=f'/diary/{number}'.encode(), fields=fields)
        record.note(f'look-{number} at {host.name}: {head.status}')
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.note(f'look-{number} at {host.name}: {error!r}')


sys.exit(h.run_case(Path(__file__).resolve().parent, play))
