"""Steps of explain.feature."""

import asyncio
import contextlib
import copy
import io

from behave import given, then, when
from customer_parts import ACME, HOST_NAME, manifest_spec
from delivery_parts import DeliveryHarness, response_to
from entry_fleet import EntryFleet
from platform_helpers import run_real

from balsamrail.cli import main
from balsamrail.platform.manifest_reader import read_manifest


async def respond(number, headers, writer):
    writer.write(response_to(headers))


async def respond_with_limit(number, headers, writer):
    writer.write(response_to(headers, Server_Limit='40'))


async def respond_leaving(number, headers, writer):
    writer.write(response_to(headers, Server_Leaving='1'))


async def start_mixed():
    """Return a host with targets in different states, each of which got some requests."""
    behaviours = [respond_with_limit, respond_leaving, respond, respond, respond]
    delivery = await DeliveryHarness(behaviours, other_hosts=['attiki-a-2']).start(
        first_target_refuses=True
    )
    for number in range(30):
        await delivery.send(f'before-{number}', key=f'old {number}')
    return delivery


def explain(delivery, key='x', path='/read/x', **more):
    return delivery.dispatcher.explainer.explain(host=HOST_NAME, path=path, object_key=key, **more)


def state_of(delivery):
    selector = delivery.dispatcher._target_selector
    registry = selector.target_registry
    now = 0
    return copy.deepcopy(
        {
            'attempts': delivery.attempts(),
            'limits': {
                target_id: state.availability.limit
                for target_id, state in registry.states_by_id.items()
            },
            'known': {
                target_id: list(state._known_objects)
                for target_id, state in registry.states_by_id.items()
            },
            'cold': selector._send_limits._warmup_limiter._sent_by_target,
            'objects': selector._object_spread,
            'metrics': delivery.environment.metrics.dump(),
            'now': now,
        }
    )


@given(
    'a host with 6 targets, of which one names a limit, one leaves and one does not accept connections'
)
def step_mixed(context):
    context.start = start_mixed


@when('each of 40 requests is explained and then sent')
def step_explain_and_send(context):
    async def play():
        delivery = await context.start()
        context.pairs = []
        for number in range(40):
            key = f'object {number % 13}'
            named = explain(delivery, key)['services'][0]['target']
            before = delivery.attempts()
            await delivery.send(f'r-{number}', key=key)
            after = delivery.attempts()
            # The first target is the one without a listener.
            went = [
                f'i-{place + 1}' for place in range(len(after)) if after[place] > before[place]
            ]
            context.pairs.append((named, went))
        delivery.stop()

    run_real(play())


@then('each went to the target that was named')
def step_went(context):
    wrong = [(named, went) for named, went in context.pairs if [named] != went]
    assert not wrong, wrong
    assert len({named for named, _ in context.pairs}) > 1


@when('50 requests are explained')
def step_explain_many(context):
    async def play():
        delivery = await context.start()
        context.before = state_of(delivery)
        for number in range(50):
            explain(delivery, f'object {number}')
        context.after = state_of(delivery)
        delivery.stop()

    run_real(play())


@then('the targets got no request, and limits, objects, budgets and metrics are as before')
def step_no_trace(context):
    for name, before in context.before.items():
        after = context.after[name]
        if name == 'objects':
            before, after = before._objects_by_service, after._objects_by_service
        assert after == before, (name, before, after)


class _Unconfirmed:
    def is_confirmed(self):
        return False


@when('a request is explained by a host {cause}')
def step_explain_rejected(context, cause):
    async def play():
        delivery = DeliveryHarness([] if 'targets' in cause else [respond])
        if 'confirm' in cause:
            delivery.freshness = _Unconfirmed()
        await delivery.start()
        if 'key' in cause or 'confirm' in cause:
            delivery.catalog.offer_manifest(read_manifest(manifest_spec(ACME)))
        if 'without a manifest' in cause:
            delivery.catalog.manifest = None
        path = '/none/x' if 'no route' in cause else '/read/x'
        context.explanation = explain(delivery, path=path)
        delivery.stop()

    run_real(play())


@then('the explanation says "{code}"')
def step_says(context, code):
    found = context.explanation
    codes = [found['rejected'], *(each.get('rejected') for each in found.get('services', ()))]
    assert code in codes, found


@given('an entry host with a target')
def step_entry_host(context):
    context.fleet = EntryFleet(attiki=1, makedonia=0)


@when('the operator runs explain for a route of its manifest')
def step_run_explain(context):
    async def play():
        fleet = context.fleet
        await fleet.start()
        try:
            host = next(iter(fleet.hosts.values()))
            address = host._environment.settings.operator_address
            arguments = ['explain', address, HOST_NAME, '/read/x', '--object', '17']
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                context.exit_code = await asyncio.to_thread(main, arguments)
            context.output = output.getvalue()
        finally:
            await fleet.stop()

    run_real(play(), limit_s=30)


@then('it prints the route and the target, and exits with 0')
def step_printed(context):
    assert context.exit_code == 0, context.output
    assert 'manifest_version' in context.output, context.output
    assert 'candidates' not in context.output, context.output
    assert 'i-' in context.output, context.output
