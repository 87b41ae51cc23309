"""Steps of target_limits.feature for the responses of single targets, and for reports on them."""

import asyncio
import time

from behave import given, then, when
from delivery_parts import DeliveryHarness, response_to
from forwarding_parts import PeerNetwork, whole
from placement_parts import Placement, make_entry, make_manifest
from platform_helpers import RecordedLog, make_environment, run_real
from target_limits_steps import answers
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.delivery.limit_reports import LimitReports
from balsamrail.errors import OverloadedError
from balsamrail.messages import TargetLimitReport
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.target_registry import TargetRegistry

CALLER_TIMEOUT_S = 2.0
ZERO = {'Server_Limit': '0'}


async def _names_200(number, headers, writer):
    writer.write(response_to(headers, **ZERO))


async def _names_500(number, headers, writer):
    writer.write(response_to(headers, **ZERO).replace(b'200 OK', b'500 Failed'))


async def _names_in_refusal(number, headers, writer):
    refusal = response_to(headers, X_Not_Executed='1', **ZERO)
    writer.write(refusal.replace(b'200 OK', b'503 Service Unavailable'))


async def _names_in_cut(number, headers, writer):
    writer.write(response_to(headers, **ZERO)[:-2])
    await writer.drain()
    raise ConnectionError


async def _names_in_misdirected(number, headers, writer):
    misdirected = response_to(headers, X_Not_Executed='1', **ZERO)
    writer.write(misdirected.replace(b'200 OK', b'421 Misdirected'))


async def _names_in_crossed(number, headers, writer):
    late = response_to({'x-request-id': 'another'}, **ZERO)
    writer.write(late + response_to(headers))


NAMES_IN = {
    'a signed 200': _names_200,
    'a 500 of its own': _names_500,
    'a refusal': _names_in_refusal,
    'an answer that is cut off': _names_in_cut,
    'an answer of another target': _names_in_misdirected,
    'an answer to another request': _names_in_crossed,
}


@given('a target that names a limit of 0 in {answer}, and one that responds')
def step_names_in(context, answer):
    context.delivery = DeliveryHarness([NAMES_IN[answer], answers], other_hosts=())


@when('{count:d} requests that prefer the first target follow each other')
def step_send(context, count):
    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        for number in range(count):
            await asyncio.gather(delivery.send(f'r-{number}', key=key), return_exceptions=True)
        context.counts = delivery.attempts()
        context.lines = ''.join(delivery.log.lines)
        delivery.stop()

    context.sent = count
    run_real(play())


@then('the first target got at most 2 requests, and the other one the later ones')
def step_few(context):
    assert 1 <= context.counts[0] <= 2, context.counts
    assert context.counts[1] >= context.sent - 2, context.counts


@then('the log records the limit once, and that the target was skipped')
def step_logged(context):
    assert context.lines.count('event=target_limited ') == 1, context.lines
    assert 'i-0:limited' in context.lines, context.lines


@then('each request has reached the first target')
def step_each(context):
    assert context.counts[0] == context.sent, context.counts


class ChangingTarget:
    """Names ``later`` in its responses after the first ``before_count`` ones; lists are headers."""

    def __init__(self, before, later, *, before_count):
        self.before = before
        self.later = later
        self.before_count = before_count
        self.arrived_at = []

    async def __call__(self, number, headers, writer):
        self.arrived_at.append(time.monotonic())
        values = self.before if len(self.arrived_at) <= self.before_count else self.later
        lines = ''.join(f'Server-Limit: {value}\r\n' for value in values)
        head, _, body = response_to(headers).partition(b'\r\n')
        writer.write(head + b'\r\n' + lines.encode() + body)


@given('a target that names {before} and then {value}, and no other one')
def step_malformed(context, before, value):
    named = ['2'] if before == 'a limit of 2' else []
    values = {'3 and 9': ['3', '9'], 'nothing': ['']}.get(value, [value])
    context.limited = ChangingTarget(named, values, before_count=len(named))
    context.delivery = DeliveryHarness([context.limited], other_hosts=())


@then('{share} requests reach the first target')
def step_share(context, share):
    count = len(context.limited.arrived_at)
    if share == 'all':
        assert count == len(context.responses), count
    else:
        assert 2 <= count <= 17, count


@then('the log records the malformed limit once')
def step_malformed_logged(context):
    lines = ''.join(context.delivery.log.lines)
    assert lines.count('event=target_limit_unreadable ') == 1, lines[-2_000:]


@given('a target that names a limit of 4 in its first 3 responses, and no other one')
def step_ends(context):
    context.limited = ChangingTarget(['4'], [], before_count=3)
    context.delivery = DeliveryHarness([context.limited], other_hosts=())


@then('some requests of the first second are refused, and the last 20 are not')
def step_all_again(context):
    is_refused = [isinstance(one, OverloadedError) for one in context.responses]
    assert any(is_refused[:20]), is_refused
    assert not any(is_refused[-20:]), is_refused


@given('two targets that name a limit of 2 requests a second')
def step_two_limited(context):
    async def names_two(number, headers, writer):
        writer.write(response_to(headers, Server_Limit='2'))

    context.delivery = DeliveryHarness([names_two, names_two], other_hosts=())


@when('40 callers send requests at once after both have named it')
def step_forty(context):
    context.refusals = []

    async def call(delivery, number):
        began = time.monotonic()
        try:
            await delivery.send(
                f'r-{number}', key=f'key {number}', caller_timeout_s=CALLER_TIMEOUT_S
            )
        except OverloadedError as error:
            context.refusals.append((time.monotonic() - began, error.retry_after_s))

    async def play():
        delivery = await context.delivery.start()
        for target_id in ('i-0', 'i-1'):
            await delivery.send('first', key=delivery.key_that_prefers(target_id))
        await asyncio.gather(*(call(delivery, number) for number in range(40)))
        delivery.stop()

    run_real(play())


@then('most are refused in half of the time that they would wait, and told when to return')
def step_refused_at_once(context):
    assert len(context.refusals) >= 30, len(context.refusals)
    for took_s, retry_after_s in context.refusals:
        assert took_s < CALLER_TIMEOUT_S / 2, took_s
        assert 0 < retry_after_s <= 6, retry_after_s


@given('a target that is down and answers health checks with a limit of 0')
def step_down(context):
    async def unwell(number, headers, writer):
        context.checked.set()
        writer.write(
            whole(b'', X_Instance_Id='i-0', **ZERO).replace(b'200 OK', b'503 Service Unavailable')
        )

    context.delivery = DeliveryHarness([unwell], other_hosts=())


@when('its health is checked for 3 s after the first response with a limit')
def step_checked(context):
    async def play():
        context.checked = asyncio.Event()
        delivery = await context.delivery.start()
        health_checker = delivery.make_health_checker()
        checking = asyncio.create_task(health_checker.run())
        delivery.target_registry.state_of('i-0').note_down(check_at=0, now=0)
        await context.checked.wait()
        await asyncio.sleep(3)
        context.counts = delivery.attempts()
        checking.cancel()
        delivery.stop()

    run_real(play())


@then('it got at most 2 health checks')
def step_few_checks(context):
    assert 1 <= context.counts[0] <= 2, context.counts


class ReportingHost:
    def __init__(self, name):
        catalog = Catalog(environment=make_environment())
        catalog.put_target(make_entry('i-1'))
        self.target_registry = TargetRegistry(
            catalog=catalog, settings=make_environment().settings
        )
        self.target_registry.refresh(now=0)
        self.network = PeerNetwork()
        environment = make_environment(host=name, log=RecordedLog())
        self.reports = LimitReports(
            environment=environment,
            network=self.network,
            target_registry=self.target_registry,
        )

    @property
    def state(self):
        return self.target_registry.state_of('i-1')

    def limit(self):
        limit = self.state.availability.limit
        return limit and limit.per_s

    def hear(self, report):
        self.network.receivers[0](report.host, report)


def _report(**changes):
    fields = {
        'host': 'h-1',
        'target': 'i-1',
        'born_ms': 1,
        'is_limited': True,
        'per_s': 3.0,
        'wall_s': 1.0,
    }
    return TargetLimitReport(**{**fields, **changes})


@given('two hosts that know a target')
def step_two_hosts(context):
    # The hosts are made inside of the event loop, whose clock they use.
    pass


@when('responses to one of them name a limit, the same limit, one half as high, and none')
def step_reports(context):
    context.seen = []

    async def play():
        loop = asyncio.get_running_loop()
        one, other = context.pair = [ReportingHost(name) for name in ('h-1', 'h-2')]
        for per_s in (8.0, 8.0, 8.0, 4.0, None):
            await asyncio.sleep(2)
            if per_s is None:
                assert one.state.availability.note_no_limit(now=loop.time())
            else:
                one.state.availability.note_limit(per_s, now=loop.time())
            one.reports.publish(one.state)
            for report in one.network.flooded[len(context.seen) :]:
                other.hear(report)
                context.seen.append(report)
                assert other.limit() == per_s, (other.limit(), per_s)
        for report in (
            _report(born_ms=2),
            _report(target='i-2'),
            _report(per_s=float('nan')),
            _report(per_s=-1.0),
        ):
            other.hear(report)
            assert other.limit() is None, report

    run_virtual(play())


@then('the other one has each of them within 2 s, after 3 reports')
def step_three_reports(context):
    named = [(report.is_limited, report.per_s) for report in context.seen]
    assert named == [(True, 8.0), (True, 4.0), (False, 0)], named


@then(
    'a report on another incarnation, an unknown target or a number that is none changes nothing'
)
def step_ignored_reports(context):
    assert context.pair[1].limit() is None


@given('a target that is cold, or names a limit, or both')
def step_cold_and_limited(context):
    context.cases = ({'cold'}, {'limited'}, {'cold', 'limited'})


def _count_sent(case, *, warmup_per_s, limit_per_s):
    placement = Placement(
        make_entry('i-1', slots=1_000, cold_left_s=60 if 'cold' in case else 0),
        manifest=make_manifest(warmup_per_s=warmup_per_s),
    )
    placement.fleet.replace({})
    if 'limited' in case:
        state = placement.target_registry.state_of('i-1')
        state.availability.note_limit(limit_per_s, now=0)
    count = 0
    for hundredth in range(400):
        while count < 1_000 and not isinstance(placement.select(now=hundredth / 100), Rejection):
            count += 1
    return count


@when('requests arrive as fast as it may get them for 4 s')
def step_as_fast(context):
    context.counts_by_rates = {
        rates: [
            _count_sent(case, warmup_per_s=rates[0], limit_per_s=rates[1])
            for case in context.cases
        ]
        for rates in ((10, 4), (2, 20))
    }


@then('with both it gets no more than with either')
def step_stricter(context):
    for rates, (cold, limited, both) in context.counts_by_rates.items():
        assert 0 < both <= min(cold, limited), (rates, cold, limited, both)


@given('a target that names a limit of 0 to a host')
def step_limited_host(context):
    context.placement = Placement(make_entry('i-1'))
    context.placement.fleet = FleetHosts(own_host='h-1', own_region='attiki')
    context.placement.target_registry.state_of('i-1').availability.note_limit(0, now=0)


@when('its entry is removed and restored, and then replaced by that of another incarnation')
def step_entry_changes(context):
    placement = context.placement
    context.reasons = []
    for born_ms in (1, None, 1, 2):
        if born_ms is None:
            placement.catalog.drop_target('i-1', reason='removed')
            placement.put()
            continue
        placement.put(make_entry('i-1', born_ms=born_ms))
        exclusions = placement.target_registry.state_of('i-1').availability.exclusions(now=1)
        context.reasons.append([exclusion.reason for exclusion in exclusions])


@then('the limit is in force until the incarnation changes')
def step_until_restart(context):
    limited = [ExclusionReason.limited]
    assert context.reasons == [limited, limited, []], context.reasons
