"""A request that crashes targets, on a route that is split between three services."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CONTACT_S, Caller, Fleet, manifest, route, run_case

REGIONS = {'attiki-a': 'attiki', 'attiki-b': 'attiki', 'attiki-c': 'attiki'}
HOSTS = {'edge-a': 'attiki-a', 'edge-b': 'attiki-b', 'edge-c': 'attiki-c'}
SERVICES = ('bookings', 'bookings-two', 'bookings-three')
POISON = '/book/poison'
POISON_INTERVAL_S = 3.3
POISONS = 14
MOST_RETRIES = 3


async def case(folder, record, has_trouble):
    async with Fleet(folder=folder, record=record, regions=REGIONS, hosts=HOSTS) as fleet:
        split = dict.fromkeys(SERVICES, 1)
        routes = [route('book', 'non_idempotent', split)]
        fleet.store.put('config', 'main', manifest(7, routes, SERVICES))
        for service in SERVICES:
            for zone in REGIONS:
                for number in range(2):
                    await fleet.add_target(
                        f'{service}-{zone[-1]}{number}',
                        service,
                        zone,
                        work_s=0.6,
                        poison_path=POISON if has_trouble else '',
                    )
        await fleet.start_hosts()
        await asyncio.sleep(CONTACT_S + 0.5)
        caller = Caller(record=record)
        lost = []
        pending = set()
        bystanders = asyncio.ensure_future(_book(fleet, caller, lost, pending))
        sent_by_id = {}
        for number in range(POISONS):
            host = fleet.hosts[number % len(fleet.hosts)]
            at = record.now()
            request_id, _ = await caller.send(
                host, 'POST', POISON, key='poison', body=b'same body', name='poison'
            )
            sent_by_id[request_id] = at
            await asyncio.sleep(max(0, at + POISON_INTERVAL_S - record.now()))
        bystanders.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        crashes = sorted(crash for target in fleet.targets for crash in target.crashed_by)
        if len(crashes) < 3:
            return False, f'{len(crashes)} crashes, {len(lost)} other bookings without a success'
        counted_from = crashes[2][0] + CONTACT_S
        retries = [
            arrival.request_id
            for arrival in fleet.arrivals
            if arrival.path == POISON and sent_by_id.get(arrival.request_id, 0) > counted_from
        ]
        return len(retries) > MOST_RETRIES, (
            f'{len(crashes)} crashes; {len(retries)} retries of the request reached targets later '
            f'than {CONTACT_S} s after the third crash ({retries}); '
            f'{len(lost)} other bookings failed, {lost[:8]}'
        )


async def _book(fleet, caller, lost, pending):
    """Book all the time; a booking that runs at a crashing target is lost."""
    number = 0
    while True:
        number += 1
        host = fleet.hosts[number % len(fleet.hosts)]
        task = asyncio.ensure_future(_book_once(host, caller, lost, number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(0.15)


async def _book_once(host, caller, lost, number):
    request_id, answer = await caller.send(
        host, 'POST', f'/book/{number}', key=f'k{number % 24}', body=b'a visit', name='visit'
    )
    if answer is None or answer.status >= 500:
        lost.append((request_id, 0 if answer is None else answer.status))


if __name__ == '__main__':
    sys.exit(run_case(case, __file__))
