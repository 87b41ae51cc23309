"""Steps of path_loss.feature with a fleet in one process."""

import asyncio
from collections import Counter

from behave import then, when
from cut_links import CutLinks
from entry_fleet import HOST_NAME, manifest
from entry_steps import _play

CONTACT_S = 3.0
WARM_UP_S = 2.0
AFTER_S = 3.0
WORK_S = 0.05
FLAP_S = 0.7
# What a caller gets from a host that has been killed.
NO_CONNECTION = 0
NOT_RUN_STATUSES = {408, 421, 429, 503}


def manifest_with_bookings(version):
    """A manifest with a route whose requests are not idempotent."""
    whole = manifest(version)
    route = dict(whole['resources'][0]['spec'], pathPrefix='/book/', kind='non_idempotent')
    whole['resources'].append({'entryKind': 'routes', 'metadata': {'name': 'b'}, 'spec': route})
    return whole


class CutPlay:
    """Sends each host 12 requests a second and records what callers get at which."""

    def __init__(self, fleet):
        self.fleet = fleet
        # The host, the time of the request, its id and the status that the caller got.
        self.results = []
        # The time of each request, how long it took, and the response, if any.
        self.answers = []

    async def load(self, *, until):
        number, pending = 0, []
        while not until():
            for host in sorted(self.fleet.hosts):
                number += 1
                pending.append(asyncio.create_task(self._send(host, number)))
                await asyncio.sleep(1 / 72)
        await asyncio.gather(*pending)

    async def _send(self, host, number):
        sent_at = asyncio.get_running_loop().time()
        request_id = f'p-{number}'
        headers = {'Host': HOST_NAME, 'X-Request-Id': request_id, 'X-Timeout-Ms': '2000'}
        kind = 'book' if number // 6 % 2 else 'read'
        try:
            response = await self.fleet.get(
                self.fleet.addresses[host][0], f'/{kind}/{number}', headers=headers
            )
            code = response.code
        except OSError:
            code = NO_CONNECTION
            response = None
        self.results.append((host, sent_at, request_id, kind, code))
        took_s = asyncio.get_running_loop().time() - sent_at
        self.answers.append((sent_at, took_s, response))

    def served(self, hosts, *, since, until):
        """Return the fraction of the requests to some hosts that were served."""
        codes = [
            code for host, at, _, _, code in self.results if host in hosts and since <= at < until
        ]
        assert codes
        return sum(code == 200 for code in codes) / len(codes), Counter(codes)


def play_cut(context, hosts, cut):
    """Run ``cut(fleet, links)`` beside load; ``context`` gets the times of its begin and end."""
    context.cut_hosts = hosts

    async def play(fleet):
        fleet.store.put('config', 'main', manifest_with_bookings(4))
        for target in fleet.targets:
            target.work_s = WORK_S
        context.cut_play = CutPlay(fleet)
        links = CutLinks(
            addresses=[
                fleet.store.address,
                *(target.upstream.address for target in fleet.targets),
            ]
        )
        with links.installed():
            loading = asyncio.Event()
            load = asyncio.create_task(context.cut_play.load(until=loading.is_set))
            await asyncio.sleep(WARM_UP_S)
            context.cut_at = asyncio.get_running_loop().time()
            await cut(fleet, links)
            links.heal()
            context.healed_at = asyncio.get_running_loop().time()
            await asyncio.sleep(AFTER_S)
            loading.set()
            await load

    _play(context, play)


def addresses_of(fleet, is_lost=lambda target: True):
    return [target.upstream.address for target in fleet.targets if is_lost(target)]


@when('{hosts} lose all targets for {cut_s:d} s, whose connections {mode}')
def step_cut(context, hosts, cut_s, mode):
    async def cut(fleet, links):
        links.cut(context.cut_hosts, mode, addresses=addresses_of(fleet))
        await asyncio.sleep(cut_s)

    everybody = set(context.fleet.zone_by_host)
    play_cut(context, everybody if hosts == 'all hosts' else set(hosts.split()), cut)


LOST = {
    'of one service': lambda target: target.service == 'lepu',
    'of two of 3 zones': lambda target: target.zone != 'attiki-b',
    'and the store': lambda target: True,
}


@when('{hosts} lose the targets {lost} for {cut_s:d} s, whose connections {mode}')
def step_cut_partly(context, hosts, lost, cut_s, mode):
    async def cut(fleet, links):
        addresses = addresses_of(fleet, LOST[lost])
        if lost == 'and the store':
            addresses.append(fleet.store.address)
        links.cut(context.cut_hosts, mode, addresses=addresses)
        await asyncio.sleep(cut_s)

    play_cut(context, set(hosts.split()), cut)


@when('{hosts} lose all targets for 0.7 s of each 1.4 s, for {cut_s:d} s')
def step_flap(context, hosts, cut_s):
    async def cut(fleet, links):
        end = asyncio.get_running_loop().time() + cut_s
        while asyncio.get_running_loop().time() < end:
            links.cut(context.cut_hosts, 'hang', addresses=addresses_of(fleet))
            await asyncio.sleep(FLAP_S)
            links.heal()
            await asyncio.sleep(FLAP_S)

    play_cut(context, set(hosts.split()), cut)


@when('{hosts} lose all targets for {cut_s:d} s, and {killed} is killed in the midst')
def step_peer_killed(context, hosts, cut_s, killed):
    async def cut(fleet, links):
        links.cut(context.cut_hosts, 'hang', addresses=addresses_of(fleet))
        await asyncio.sleep(cut_s / 2)
        await fleet.kill(killed)
        await asyncio.sleep(cut_s / 2)

    play_cut(context, set(hosts.split()), cut)


def assert_as_well_served(context, since, until):
    others = set(context.fleet.zone_by_host) - context.cut_hosts
    play = context.cut_play
    cut_off, cut_off_codes = play.served(context.cut_hosts, since=since, until=until)
    reference, codes = play.served(others, since=since, until=until)
    print(f'cut off {cut_off:.3f} {cut_off_codes}, others {reference:.3f} {codes}')
    assert cut_off >= reference * 2 / 3, (cut_off, cut_off_codes, reference, codes)


@then(
    'from 3 s after the cut callers there are served at least two thirds as often as at the others'
)
def step_served_in_cut(context):
    assert_as_well_served(context, context.cut_at + CONTACT_S, context.healed_at)


@then('in the 2 s after its end too')
def step_served_after(context):
    assert_as_well_served(context, context.healed_at, context.healed_at + 2)


@then('no request that is not idempotent ran twice or was called not run and ran')
def step_at_most_once(context):
    ran = Counter(
        request_id for target in context.fleet.targets for request_id in target.request_ids
    )
    for _, _, request_id, kind, code in context.cut_play.results:
        if kind == 'book':
            assert ran[request_id] <= 1, request_id
            assert not (code in NOT_RUN_STATUSES and ran[request_id]), (request_id, code)


@then(
    'from 3 s after the cut each caller is refused within {bound_s:g} s, and told when to come back'
)
def step_refused_at_once(context, bound_s):
    since, until = context.cut_at + CONTACT_S, context.healed_at - bound_s
    refused = [one for one in context.cut_play.answers if since <= one[0] < until]
    assert len(refused) > 100, len(refused)
    for _, took_s, response in refused:
        assert response.code == 503 and 'Retry-After' in response.headers, response
        assert took_s < bound_s, took_s


@then('in the 2 s after its end callers are served')
def step_served_again(context):
    play = context.cut_play
    fraction, codes = play.served(
        context.cut_hosts, since=context.healed_at, until=context.healed_at + 2
    )
    assert fraction >= 2 / 3, codes
