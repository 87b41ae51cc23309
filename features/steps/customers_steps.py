"""Steps of customers.feature about requests of callers at one host."""

from behave import given, then, when
from customer_parts import (
    ACME,
    ACME_KEY,
    ACME_OLD_KEY,
    BRIO,
    BRIO_KEY,
    HOST_NAME,
    Freshness,
    customer,
    make_request,
    manifest,
    manifest_spec,
    outcome_of,
    received,
    respond,
)
from delivery_parts import DeliveryHarness
from platform_helpers import run_real
from tornado.httpclient import AsyncHTTPClient
from tornado.netutil import bind_sockets

from balsamrail.catalog.stored_objects import ObjectEvent
from balsamrail.entry.caller_http_server import CallerHttpServer
from balsamrail.errors import RequestError, UnknownKeyError
from balsamrail.platform.caller_codec import problem_answer
from balsamrail.platform.caller_server import CallerServer
from balsamrail.platform.catalog_reader import MANIFESTS, CatalogReader
from features.steps.fake_source import FakeSource

KEYS = {
    'a known key': {'Authorization': f'Bearer {ACME_KEY}'},
    'an older key': {'Authorization': f'Bearer {ACME_OLD_KEY}'},
    'another scheme': {'Authorization': f'Basic {ACME_KEY}'},
    'odd letter case': {'authorization': f'bEARER {ACME_KEY}'},
    'two keys': {'Authorization': f'Bearer {ACME_KEY}', 'AUTHORIZATION': f'Bearer {BRIO_KEY}'},
    'an unknown key': {'Authorization': 'Bearer k-none'},
    'an empty key': {'Authorization': 'Bearer'},
    'no key': {},
    'a customer name': {'X_Tenant': 'acme'},
    'a key of another customer': {'Authorization': f'Bearer {BRIO_KEY}'},
    'another name': {'X_Tenant': 'brio'},
}


class StoredManifests:
    """Puts stored manifests in force at a host, as its reader of the store does."""

    def __init__(self, delivery):
        self.source = FakeSource()
        reader = CatalogReader(
            environment=delivery.environment,
            catalog=delivery.catalog,
            store_up_for_s=lambda: 60,
        )
        (self.view,) = [view for view in reader.views if view.kind == MANIFESTS]

    def put(self, spec):
        self.source.write('main', spec)
        stored = self.source.objects_by_name['main']
        self.view.apply_events([ObjectEvent(stored=stored, is_removal=False)])


def run_host(context, play, *, behaviours=(respond,), spec=None, **fields):
    """Run ``play`` with a host and its targets; ``context`` keeps the host."""

    async def run():
        delivery = DeliveryHarness(list(behaviours), **fields)
        delivery.freshness = context.freshness if 'freshness' in context else Freshness()
        context.delivery = await delivery.start()
        try:
            if spec is not None:
                StoredManifests(delivery).put(spec)
            return await play(delivery)
        finally:
            delivery.stop()

    return run_real(run())


def lines_of(delivery, event):
    return [line for line in delivery.log.lines if f'event={event} ' in line]


@given('a host with customers whose manifest is {freshness}')
def step_freshness(context, freshness):
    context.spec = manifest_spec(ACME, BRIO)
    context.freshness = Freshness(confirmed=freshness == 'confirmed')


@given('a host with customers')
def step_customers(context):
    context.spec = manifest_spec(ACME, BRIO)


@given('a host with a manifest without customers')
def step_no_customers(context):
    context.spec = manifest_spec()


@given('a host that has received no manifest')
def step_no_manifest(context):
    context.spec = None


@when('a request for "{path}" arrives with {key}')
def step_request(context, path, key):
    async def play(delivery):
        if context.spec is None:
            delivery.catalog.manifest = None
        return await outcome_of(delivery, make_request(path, **KEYS[key]))

    context.outcome = run_host(context, play, spec=context.spec)


@when('it gets a request from a {sender} with the handover "{handover}" and {key}')
def step_handover(context, sender, handover, key):
    async def play(delivery):
        request = make_request(
            is_from_peer=sender == 'peer', Balsamrail_Handover=handover, **KEYS[key]
        )
        return await outcome_of(delivery, request)

    context.outcome = run_host(context, play, spec=context.spec)


@then('the outcome is "{outcome}" for the customer "{name}"')
@then('the outcome is "{outcome}" for the customer ""')
def step_outcome(context, outcome, name=''):
    found, heads = context.outcome, context.delivery.targets[0].heads
    if isinstance(found, RequestError):
        assert (found.code, len(heads)) == (outcome, 0), (found, heads)
        if outcome == 'manifest_unconfirmed':
            assert found.retry_after_s == 0.5, found.retry_after_s
        return
    assert str(found.status) == outcome, found
    fields = received(context.delivery.targets[0])
    assert fields.get('x-tenant', '') == name, fields
    assert 'authorization' not in fields, fields


@when('the answer to a request with an unknown key is encoded')
def step_challenge(context):
    context.answer = problem_answer(UnknownKeyError(detail='unknown'), request_id='r-1')


@then('it has the status 401, names the scheme and promises that the request is refused')
def step_challenged(context):
    answer = context.answer
    assert answer.status == 401, answer
    assert answer.headers['WWW-Authenticate'] == 'Bearer', answer.headers
    assert b'"outcome": "refused"' in answer.body, answer.body


@given('a host with a customer whose name and key have letters of several scripts')
def step_scripts(context):
    context.name, context.key = 'Łódź Ωμέγα 顧客', 'clé-Ω-鍵'
    context.spec = manifest_spec(customer(context.name, context.key))


@when('it sends a request with its key')
def step_send_scripts(context):
    async def play(delivery):
        return await outcome_of(delivery, make_request(Authorization=f'Bearer {context.key}'))

    context.outcome = run_host(context, play, spec=context.spec)


@then('the target gets the name in UTF-8')
def step_utf8(context):
    assert context.outcome.status == 200, context.outcome
    assert received(context.delivery.targets[0])['x-tenant'] == context.name


@when("a request with a key and a customer's name arrives")
def step_unchanged(context):
    async def play(delivery):
        request = make_request(Authorization=f'Bearer {ACME_KEY}', X_Tenant='acme')
        return await outcome_of(delivery, request)

    context.outcome = run_host(context, play, spec=context.spec)


@then('the target gets both headers unchanged, and the log and the manifest line name no customer')
def step_both_headers(context):
    fields = received(context.delivery.targets[0])
    assert fields['authorization'] == f'Bearer {ACME_KEY}', fields
    assert fields['x-tenant'] == 'acme', fields
    assert 'customer' not in ''.join(context.delivery.log.lines), context.delivery.log.lines


@when('requests of a customer are served and fail, and one with an unknown key is rejected')
def step_logged(context):
    nowhere = customer('acme', ACME_KEY, allowedRegions=['kriti'])

    async def play(delivery):
        context.statuses = [await _status(delivery, ACME_KEY), await _status(delivery, 'k-none')]
        delivery.catalog.offer_manifest(
            manifest(
                nowhere,
                BRIO,
                version=3,
                routes={'/read/': {'allowedRegions': ['attiki']}},
            )
        )
        context.statuses.append(await _status(delivery, ACME_KEY))

    run_host(context, play, spec=context.spec)


async def _status(delivery, key):
    """Send a request over a connection of a caller, and return the status of the response."""
    callers = CallerServer(environment=delivery.environment, handler=delivery.dispatcher)
    server = CallerHttpServer(callers, environment=delivery.environment)
    sockets = bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    headers = {'Host': HOST_NAME, 'X-Request-Id': key, 'Authorization': f'Bearer {key}'}
    url = f'http://127.0.0.1:{port}/read/x'
    client = AsyncHTTPClient(force_instance=True)
    try:
        return (await client.fetch(url, headers=headers, raise_error=False)).code
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


@then('the lines about the former name the customer, and the one about the latter does not')
def step_named(context):
    delivery = context.delivery
    assert context.statuses == [200, 401, 503], context.statuses
    (done,) = lines_of(delivery, 'request_done')
    assert 'customer=acme' in done, done
    rejected, failed = lines_of(delivery, 'request_failed')
    assert 'code=unknown_key' in rejected and 'customer=' not in rejected, rejected
    assert 'code=no_target' in failed and 'customer=acme' in failed, failed


@then('the line about the manifest has their number')
def step_manifest_line(context):
    async def play(delivery):
        return lines_of(delivery, 'manifest_in_force')

    first, second = run_host(context, play, spec=context.spec)
    assert 'customers' not in first, first
    assert 'customers=2' in second, second


def plan_of(delivery, request):
    return delivery.dispatcher._planner.plan(request)


def regions_of(text):
    return [region for region in text.split(',') if region]


@given('a route confined to "{route}" and a customer to "{regions}"')
@given('a route confined to "" and a customer to "{regions}"')
@given('a route confined to "{route}" and a customer to ""')
@given('a route confined to "" and a customer to ""')
def step_regions(context, route='', regions=''):
    context.spec = manifest_spec(
        customer('acme', ACME_KEY, allowedRegions=regions_of(regions)),
        routes={'/read/': {'allowedRegions': regions_of(route)}},
    )


@when('a request of the customer is planned')
def step_plan(context):
    async def play(delivery):
        try:
            return plan_of(delivery, make_request(**KEYS['a known key']))
        except RequestError as error:
            return error

    context.outcome = run_host(context, play, spec=context.spec)


@then('it may be processed in "{regions}"')
def step_planned_regions(context, regions):
    plan = context.outcome
    if regions == 'nowhere':
        assert plan.code == 'no_target' and plan.status == 503, plan
        return
    expected = frozenset() if regions == 'anywhere' else {regions}
    assert plan.route.allowed_regions == expected, plan
    assert plan.customer.name == 'acme', plan


@given('a host with targets in two regions and a customer at home in the second')
def step_two_regions(context):
    context.spec = manifest_spec(customer('acme', ACME_KEY, allowedRegions=['makedonia']), BRIO)


@when('the customer sends several requests')
def step_several(context):
    async def play(delivery):
        for number in range(8):
            request = make_request(
                f'/read/{number}', request_id=f'r-{number}', **KEYS['a known key']
            )
            assert (await outcome_of(delivery, request)).status == 200
        return delivery.attempts()

    zones = ({'availability_zone': 'attiki-a'}, {'availability_zone': 'makedonia-a'})
    context.attempts = run_host(
        context, play, behaviours=(respond, respond), spec=context.spec, entries=zones
    )


@then('only the target of the second region gets them')
def step_second_region(context):
    assert context.attempts == [0, 8], context.attempts


@given('customers with and without a priority on a route with another one')
def step_priorities(context):
    context.spec = manifest_spec(
        customer('acme', ACME_KEY, priority=0), customer('cape', 'k-cape', priority=0), BRIO
    )


@when('requests of each are planned')
def step_plan_each(context):
    async def play(delivery):
        return {
            key: [plan_of(delivery, make_request(Authorization=f'Bearer {key}')) for _ in 'xy']
            for key in (ACME_KEY, 'k-cape', BRIO_KEY)
        }

    context.plans_by_key = run_host(context, play, spec=context.spec)


@then("the customer's priority holds where there is one, and its route is made once")
def step_priority_holds(context):
    plans = context.plans_by_key
    assert [plans[key][0].route.priority for key in plans] == [0, 0, 2], plans
    assert plans[ACME_KEY][0].route is plans[ACME_KEY][1].route
    assert plans[ACME_KEY][0].route is plans['k-cape'][0].route
    assert [plans[key][0].customer.name for key in plans] == ['acme', 'cape', 'brio'], plans


@given('a route that is split over two services')
def step_split(context):
    parts = [{'service': 'lepu', 'weight': 3}, {'service': 'mora', 'weight': 1}]
    context.spec = manifest_spec(
        customer('acme', ACME_KEY, priority=0),
        BRIO,
        routes={'/read/': {'weightedServices': parts}},
    )


@when('customers send requests in turn, and requests without a key arrive between them')
def step_split_requests(context):
    async def play(delivery):
        services = []
        for key in (ACME_KEY, BRIO_KEY) * 4:
            plan = plan_of(delivery, make_request(Authorization=f'Bearer {key}'))
            services.append(plan.placement_key.service)
            assert isinstance(await outcome_of(delivery, make_request()), UnknownKeyError)
        return services

    context.services = run_host(context, play, spec=context.spec)


@then('the services get their shares of all accepted requests')
def step_shares(context):
    expected = ['lepu', 'lepu', 'mora', 'lepu'] * 2
    assert context.services == expected, context.services


@given('a request of a customer that has been planned')
def step_planned(context):
    context.spec = manifest_spec(customer('acme', ACME_KEY, priority=1))


OTHER_TERMS = customer('acme', ACME_KEY, priority=5)
OTHER_ROUTES = {'/': {}}
CHANGES = {
    'without its key': manifest(customer('acme', 'k-new', priority=1), version=3),
    'in which another customer has its key': manifest(
        customer('acme', 'k-new', priority=1), customer('brio', ACME_KEY, priority=9), version=3
    ),
    'with other terms': manifest(OTHER_TERMS, version=3),
    'without the customer': manifest(BRIO, version=3),
    'without any customers': manifest(version=3),
    'without the route, with other terms': manifest(OTHER_TERMS, version=3, routes=OTHER_ROUTES),
    'without the route and the customer': manifest(BRIO, version=3, routes=OTHER_ROUTES),
}


@when('a manifest arrives {change}')
def step_change(context, change):
    async def play(delivery):
        context.request = make_request(**KEYS['a known key'])
        plan = plan_of(delivery, context.request)
        delivery.catalog.offer_manifest(CHANGES[change])
        return delivery.dispatcher._planner.refreshed(plan, context.request)

    context.plan = run_host(context, play, spec=context.spec)


@then('the request is planned again with the customer "{name}" and the priority {priority:d}')
def step_planned_again(context, name, priority):
    plan = context.plan
    assert (plan.customer.name, plan.route.priority) == (name, priority), plan
    assert plan.route.path_prefix == '/read/', plan
    assert context.request.customer_name == name
    assert context.request.hides_credentials


def run_interrupted(context, *, before, after, headers):
    """Send a request whose first target closes the connection while another manifest arrives."""

    async def play(delivery):
        async def fail_once(number, fields, writer):
            if sum(delivery.attempts()) == 1:
                delivery.catalog.offer_manifest(after)
                raise ConnectionError
            await respond(number, fields, writer)

        for target in delivery.targets:
            target.answer = fail_once
        delivery.catalog.offer_manifest(before)
        return await outcome_of(delivery, make_request(**headers))

    context.outcome = run_host(context, play, behaviours=(respond, respond))


@given("a customer's request that fails at a target, whose manifest then leaves no common region")
def step_region_lost(context):
    context.before = manifest(ACME, routes={'/read/': {'allowedRegions': ['attiki']}})
    context.after = manifest(
        customer('acme', ACME_KEY, allowedRegions=['kriti']),
        version=3,
        routes={'/read/': {'allowedRegions': ['attiki']}},
    )
    context.headers = KEYS['a known key']


@given("a customer's request that fails at a target while the customers are withdrawn")
def step_withdrawn(context):
    context.before, context.after = manifest(ACME), manifest(version=3)
    context.headers = KEYS['a known key']


@given('a request with a key and a name that fails at a target while customers come into force')
def step_into_force(context):
    context.before, context.after = manifest(), manifest(ACME, version=3)
    context.headers = {**KEYS['a known key'], **KEYS['another name']}


@when('the request would be sent again')
def step_sent_again(context):
    run_interrupted(context, before=context.before, after=context.after, headers=context.headers)


@then('no other target gets it')
def step_no_other(context):
    assert isinstance(context.outcome, RequestError), context.outcome
    assert sum(context.delivery.attempts()) == 1, context.delivery.attempts()


@then('the second target gets the name and not the key')
def step_name_only(context):
    assert context.outcome.status == 200, context.outcome
    for target in context.delivery.targets:
        assert len(target.heads) == 1, context.delivery.attempts()
        fields = received(target)
        assert fields['x-tenant'] == 'acme' and 'authorization' not in fields, fields


@then('the second target gets neither the key nor a name')
def step_neither(context):
    assert context.outcome.status == 200, context.outcome
    fields = [received(target) for target in context.delivery.targets]
    assert sorted('authorization' in one for one in fields) == [False, True], fields
    assert sorted('x-tenant' in one for one in fields) == [False, True], fields
