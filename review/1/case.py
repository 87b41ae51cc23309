"""All hosts but one are lost; the directory of the last one goes on naming the others."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CONTACT_S, HOST_NAME, Caller, Fleet, call, manifest, route, run_case

REGIONS = {'attiki-a': 'attiki', 'attiki-b': 'attiki'}
HOSTS = {'edge-a-1': 'attiki-a', 'edge-a-2': 'attiki-a', 'edge-b-1': 'attiki-b'}
GONE_AFTER_S = CONTACT_S + 3.0
OBSERVED_S = 40.0
MOST_ANSWERS = 3


async def case(folder, record, has_trouble):
    async with Fleet(folder=folder, record=record, regions=REGIONS, hosts=HOSTS) as fleet:
        routes = [route('diary', 'idempotent', 'diary')]
        fleet.store.put('config', 'main', manifest(7, routes, ['diary']))
        for zone in REGIONS:
            for number in range(4):
                await fleet.add_target(f'diary-{zone[-1]}{number}', 'diary', zone)
        await fleet.start_hosts()
        await asyncio.sleep(CONTACT_S + 2)
        survivor, *lost = fleet.hosts
        caller = Caller(record=record)
        killed_at = record.now()
        if has_trouble:
            for host in lost:
                host.signal(signal.SIGKILL)
        host_by_address = {host.caller: host for host in fleet.hosts}
        wrong = []
        only_lost = 0
        unserved = 0
        asked = 0
        while record.now() < killed_at + OBSERVED_S:
            for zone in REGIONS:
                at = record.now()
                path = (
                    f'/balsamrail/resolve?name={HOST_NAME}&region={REGIONS[zone]}&zone={zone}'
                )
                answer = await call(survivor.lookup, 'GET', path, {}, timeout_s=1)
                named = [
                    host_by_address[address] for address in json.loads(answer.body)['addresses']
                ]
                names = ','.join(host.name for host in named)
                record.note(f'directory of {survivor.name} names {names} to a caller of {zone}')
                asked += 1
                running = [host for host in named if host.process.poll() is None]
                dead = [host for host in named if host.process.poll() is not None]
                if at <= killed_at + GONE_AFTER_S:
                    continue
                if dead and running and survivor.is_in_touch(at):
                    wrong.append(round(at - killed_at, 1))
                if dead and not running:
                    only_lost += 1
                    _, looked = await caller.send(named[0], 'GET', '/diary/1', key='1')
                    unserved += looked is None
            await asyncio.sleep(1.0)
        return len(wrong) > MOST_ANSWERS, (
            f'{len(wrong)} of {asked} answers of the directory named a host beside a running one '
            f'that was killed more than {GONE_AFTER_S} s before (from {wrong[:1]} to {wrong[-1:]} s '
            f'after the loss); {only_lost} more named lost hosts only, and {unserved} requests '
            'sent as they said got no answer'
        )


if __name__ == '__main__':
    sys.exit(run_case(case, __file__))
