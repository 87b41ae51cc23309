"""Steps of forwarding.feature for requests that crash their targets."""

import asyncio

from behave import then
from forwarding_host import ADDRESSES
from forwarding_parts import PeerNetwork, make_environment
from virtual_time import run_virtual

from balsamrail.errors import TargetCrashingRequestError
from balsamrail.forwarding import CrashRegistry


@then('the crashes are reported to all hosts')
def step_reported(context):
    targets = [report.target for report in context.host.network.flooded]
    assert targets == ADDRESSES[:2], targets


@then('the request is refused for 10 minutes on every host')
def step_refused(context):
    async def main():
        environment = make_environment()
        network = PeerNetwork()
        register = CrashRegistry(environment=environment, network=network)
        reports = context.host.network.flooded
        for report in reports:
            network.receivers[0]('attiki-1', report)
        environment_wall = environment.clock.wall()
        for pause, refused in ((0, True), (590, True), (20, False)):
            await asyncio.sleep(pause)
            assert is_rejected(register, reports[0].fingerprint) == refused, environment_wall

    run_virtual(main())


def is_rejected(register, fingerprint):
    try:
        register.check(fingerprint, limit=2)
    except TargetCrashingRequestError:
        return True
    return False


@then('two suspects do not run on the same target')
def step_isolated(context):
    async def main():
        register = CrashRegistry(environment=make_environment(), network=PeerNetwork())
        for fingerprint in (b'culprit', b'neighbour'):
            assert register.begin(fingerprint, target='one')
        register.report_crash(service='bookings', target='one')
        for fingerprint in (b'culprit', b'neighbour'):
            register.end(fingerprint, target='one')
        assert register.begin(b'culprit', target='two')
        assert not register.begin(b'neighbour', target='two')
        assert register.begin(b'unsuspected', target='two')
        assert register.begin(b'neighbour', target='three')
        register.end(b'culprit', target='two')
        assert register.begin(b'neighbour', target='two')

    run_virtual(main())
