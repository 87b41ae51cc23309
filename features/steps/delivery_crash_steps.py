"""Steps of delivery.feature for the identity of requests that crash their targets."""

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from delivery_parts import DeliveryHarness, crash_on, send_deadly_repeatedly
from free_ports import free_address
from placement_parts import make_entry, make_manifest, make_route
from platform_helpers import run_real
from tornado.httputil import HTTPHeaders, RequestStartLine

from balsamrail.catalog.weighted_service import WeightedService
from balsamrail.delivery.request_fingerprint import RequestFingerprint
from balsamrail.errors import RequestError
from balsamrail.messages import CrashReport
from balsamrail.platform.caller_codec import decode_request

SERVICES = ('lepu', 'mora', 'tavi')
TARGETS_PER_SERVICE = 5
# The copies of reports for hosts of earlier versions name no service.
COPY = ''


def manifest_of(*services, version):
    parts = tuple(WeightedService(service=name, weight=1) for name in services)
    manifest = make_manifest(make_route(path_prefix='/read/', parts=parts), version=version)
    spec = manifest.services['lepu']
    return replace(manifest, services={name: replace(spec, name=name) for name in SERVICES})


@given('targets of three services that crash on requests for the path /read/deadly')
def step_three_services(context):
    entries = [{'service': name} for name in SERVICES for _ in range(TARGETS_PER_SERVICE)]
    delivery = DeliveryHarness([], entries=entries)
    delivery.behaviours = [
        crash_on('/read/deadly', delivery, number) for number in range(len(entries))
    ]
    context.delivery = delivery


async def answer_code(delivery):
    """Send a request and return the status of its response, or the code of the error."""
    try:
        return (await delivery.send('r-1')).status
    except RequestError as error:
        return error.code


@when(
    'callers send such requests repeatedly on a route that is {routed}, and others send other '
    'requests'
)
def step_send(context, routed):
    async def play():
        delivery = await context.delivery.start()
        is_split = routed.startswith('split')
        services = SERVICES if is_split else SERVICES[:1]
        delivery.catalog.offer_manifest(manifest_of(*services, version=2))
        delivery.target_registry.refresh(now=0)

        def move(number):
            if not is_split and number and number % 2 == 0:
                moved = SERVICES[number // 2 % len(SERVICES)]
                delivery.catalog.offer_manifest(manifest_of(moved, version=2 + number))
                delivery.target_registry.refresh(now=0)

        await send_deadly_repeatedly(context, delivery, prepare=move)

    run_real(play())


def reports_of(fingerprint, version, name):
    """Return pairs of the fingerprint and the service of three reports."""
    if name == 'its own fingerprint':
        return [(fingerprint.value, 'lepu')] * 3
    if name == 'the copy for earlier versions':
        return [(fingerprint.of_service('lepu'), COPY)] * 3
    services = {
        'the service of its route': ['lepu'] * 3,
        'another service': ['tavi'] * 3,
        'two services of its split route': ['lepu', 'mora', 'mora'],
    }[name]
    return [(fingerprint.of_service(service), service) for service in services]


@when('a host of {version} reports 3 crashes of a request under {name}')
def step_reported(context, version, name):
    async def play():
        delivery = await context.delivery.start()
        delivery.catalog.offer_manifest(manifest_of('lepu', 'mora', version=2))
        delivery.target_registry.refresh(now=0)
        fingerprint = RequestFingerprint(request=delivery.request('r-1', '/read/x', 'x', 2))
        (receive,) = delivery.crash_network.receivers
        for number, (digest, service) in enumerate(reports_of(fingerprint, version, name)):
            report = CrashReport(
                fingerprint=digest,
                service=service,
                target=f'i-{number}',
                wall_s=delivery.environment.clock.wall(),
            )
            receive('attiki-1', report)
        # The first request of a split route goes to its first service, which has targets.
        context.codes = [await answer_code(delivery)]
        delivery.stop()

    run_real(play())


@then('that request is {handled}')
def step_handled(context, handled):
    assert context.codes == [{'refused': 'quarantined', 'served': 200}[handled]], context.codes


@when('a request crashes a target {times:d} times, which starts again under {identity}')
def step_crashed_again(context, times, identity):
    async def play():
        delivery = await context.delivery.start()
        fingerprint = RequestFingerprint(request=delivery.request('r-1', '/read/x', 'x', 2))
        address = free_address()
        for number in range(times):
            born_ms = number if identity.endswith('birth') else 1
            delivery.catalog.put_target(make_entry('i-9', address=address, born_ms=born_ms))
            delivery.target_registry.refresh(now=0)
            state = delivery.target_registry.state_of('i-9')
            delivery.crash_detector.record_disconnect(fingerprint, state)
            await asyncio.sleep(0.05)
        context.codes = [await answer_code(delivery)]
        delivery.stop()

    run_real(play())


@when('a caller sends such a request')
def step_send_one(context):
    async def play():
        delivery = await context.delivery.start()
        try:
            await delivery.send('d-1', path='/read/deadly')
        except RequestError as error:
            context.error = error
        await asyncio.sleep(0.1)
        context.reports = delivery.crash_network.flooded
        context.fingerprint = RequestFingerprint(
            request=delivery.request('d-1', '/read/deadly', 'x', 2)
        )
        delivery.stop()

    run_real(play())


@then('its crash is reported once under the request and once under its service')
def step_reported_twice(context):
    first_target = context.reports[0].target
    reports = [
        (report.fingerprint, report.service)
        for report in context.reports
        if report.target == first_target
    ]
    assert reports == [
        (context.fingerprint.value, 'lepu'),
        (context.fingerprint.of_service('lepu'), COPY),
    ], reports


@then('requests differ in host name, method, path, body and Authorization, and in nothing else')
def step_identity(context):
    def digest(headers=None, **changes):
        fields = {
            'request_id': 'r-1',
            'method': 'POST',
            'host': 'lepu.example',
            'path': '/write/1',
            'object_key': 'x',
            'arrived_at': 1.0,
            'caller_timeout_s': 2.0,
            'body': b'body',
            **changes,
        }
        request = decode_request(
            RequestStartLine(fields['method'], fields['path'], 'HTTP/1.1'),
            HTTPHeaders(headers or {}),
            stream=SimpleNamespace(consumed_at=time.monotonic, is_from_peer=False),
        )
        return RequestFingerprint(request=replace(request, **fields)).value

    same = [
        {'request_id': 'r-2'},
        {'object_key': None},
        {'arrived_at': 2.0, 'caller_timeout_s': 1.0},
        {'headers': {'X-Request-Id': 'r-3', 'Cookie': 'X-Affinity-Key=y'}},
    ]
    others = [
        {'host': 'mora.example'},
        {'method': 'PUT'},
        {'path': '/write/1?x=1'},
        {'body': b'other'},
        {'headers': {'Authorization': 'Bearer a'}},
        {'headers': {'Authorization': 'Bearer b'}},
    ]
    assert {digest(**changes) for changes in same} == {digest()}
    assert len({digest(), *(digest(**changes) for changes in others)}) == len(others) + 1
