"""Steps of misbehaving_callers.feature about headers that arrive slowly."""

import asyncio
import contextlib
import re

from behave import given, then, when
from caller_crowd import head_of
from misbehaving_callers_steps import ANSWER_S, SMALL, SMALL_LIMITS, LimitedHost
from platform_helpers import make_environment, run_real
from virtual_time import run_virtual

from balsamrail.exchange.header_timeouts import HeaderTimeouts

CALLERS = 20
BYTE_INTERVAL_S = 0.1
HEADER_TIMEOUT_S = 1


@given('a process of a host whose limits for headers and idle connections are 1 s and 120 s')
def step_host(context):
    context.limits = {**SMALL_LIMITS, 'headerTimeoutS': HEADER_TIMEOUT_S, 'idleTimeoutS': 120}


async def _ask(reader, writer):
    """Send a request on an open connection and return the status of the response."""
    writer.write(head_of('GET', '/read/0'))
    head = (await reader.readuntil(b'\r\n\r\n')).lower()
    length = re.search(rb'content-length: (\d+)', head)
    await reader.readexactly(int(length[1]))
    return int(head.split()[1])


async def _send_slowly(address):
    """Send a header that never ends; return once the host has closed the connection."""
    number, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(number, int(port))
    with contextlib.suppress(ConnectionError):
        writer.write(head_of('GET', '/read/0')[:-2])
        while not reader.at_eof():
            writer.write(b'a')
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), BYTE_INTERVAL_S)
    writer.close()


@when('20 callers send a header byte by byte while another keeps an idle connection')
def step_callers(context):
    async def run():
        async with LimitedHost(limits=context.limits, **SMALL) as host:
            number, _, port = host.address.rpartition(':')
            idle = await asyncio.open_connection(number, int(port))
            first = await _ask(*idle)
            async with asyncio.timeout(ANSWER_S):
                await asyncio.gather(*(_send_slowly(host.address) for _ in range(CALLERS)))
            context.statuses = [first, await _ask(*idle)]
            idle[1].close()

    run_real(run(), limit_s=3 * ANSWER_S)


@then("the host closes the connections of the 20, and the other's next request is answered")
def step_closed(context):
    assert context.statuses == [200, 200], context.statuses


class _Stream:
    """A connection whose header began at ``since``."""

    def __init__(self, since):
        self.since = since
        self.is_cut_off = False

    def header_since(self):
        return self.since

    def cut_off(self):
        self.is_cut_off = True


@when('a host is suspended for 10 s between two parts of a header')
def step_suspended(context):
    async def run():
        environment = make_environment()
        clock = environment.clock
        timeouts = HeaderTimeouts(clock=clock, refusals=environment.caller_refusals)
        complete, incomplete = _Stream(clock.monotonic()), _Stream(clock.monotonic())
        context.complete, context.incomplete = complete, incomplete
        await asyncio.sleep(10)
        timeouts.check((complete, incomplete), limit_s=HEADER_TIMEOUT_S)
        context.cut_off_at_once = complete.is_cut_off or incomplete.is_cut_off
        # The host has read the rest of one header, and a later one begins.
        complete.since = clock.monotonic() + 0.5
        await asyncio.sleep(1)
        timeouts.check((complete, incomplete), limit_s=HEADER_TIMEOUT_S)

    run_virtual(run())


@then('the connection is closed only if the header is still incomplete a second later')
def step_only_then(context):
    assert not context.cut_off_at_once
    assert context.incomplete.is_cut_off
    assert not context.complete.is_cut_off
