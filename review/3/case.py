"""A request that crashes targets comes again while the hosts are restarted in turn."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CONTACT_S, Caller, Fleet, manifest, route, run_case

REGIONS = {'attiki-a': 'attiki', 'attiki-b': 'attiki'}
HOSTS = {'edge-a': 'attiki-a', 'edge-b': 'attiki-b', 'edge-c': 'attiki-a', 'edge-d': 'attiki-b'}
POISON = '/book/poison'
MOST_RETRIES = 3
TARGETS_PER_ZONE = 6


async def case(folder, record, has_trouble):
    async with Fleet(folder=folder, record=record, regions=REGIONS, hosts=HOSTS) as fleet:
        routes = [route('book', 'non_idempotent', 'bookings')]
        fleet.store.put('config', 'main', manifest(7, routes, ['bookings']))
        for zone in REGIONS:
            for number in range(TARGETS_PER_ZONE):
                await fleet.add_target(
                    f'bookings-{zone[-1]}{number}', 'bookings', zone, poison_path=POISON
                )
        await fleet.start_hosts()
        await asyncio.sleep(CONTACT_S + 0.5)
        caller = Caller(record=record)
        sent_by_id = {}

        async def poison(host):
            if not host.is_in_touch(record.now()):
                record.note(f'host {host.name} is not in touch')
            at = record.now()
            request_id, _ = await caller.send(
                host, 'POST', POISON, key='poison', body=b'same body', name='poison'
            )
            sent_by_id[request_id] = (at, host.is_in_touch(at))
            await asyncio.sleep(0.6)

        for _ in range(4):
            await poison(fleet.hosts[0])
        crashes = sorted(crash for target in fleet.targets for crash in target.crashed_by)
        if len(crashes) < 3:
            return False, f'only {len(crashes)} crashes'
        counted_from = crashes[2][0] + CONTACT_S
        await asyncio.sleep(max(0, counted_from + 0.2 - record.now()))
        for host in fleet.hosts[:3]:
            if has_trouble:
                await host.restart_gracefully()
            await asyncio.sleep(CONTACT_S + 0.3)
            for _ in range(4):
                await poison(host)
        retries = [
            arrival.request_id
            for arrival in fleet.arrivals
            if arrival.path == POISON
            and sent_by_id.get(arrival.request_id, (0, False))[0] > counted_from
            and sent_by_id[arrival.request_id][1]
        ]
        crashed = sum(target.crashes for target in fleet.targets)
        return len(retries) > MOST_RETRIES, (
            f'{crashed} crashes; {len(retries)} retries of the request, sent to hosts in touch, '
            f'reached targets later than {CONTACT_S} s after the third crash ({retries})'
        )


if __name__ == '__main__':
    sys.exit(run_case(case, __file__))
