"""Steps of forwarding.feature, in virtual time with a scripted pool."""

import asyncio
import contextlib

from behave import given, then, when
from forwarding_parts import (
    Members,
    PeerNetwork,
    Router,
    Tracker,
    make_declaration,
    make_environment,
)
from history import History
from hypothesis import given as given_examples
from hypothesis import strategies
from platform_helpers import make_member
from tornado.httputil import HTTPHeaders
from virtual_time import run_virtual

from balsamrail.errors import CrashesTargetsError, KeyClaimError, OverloadedError, RequestError
from balsamrail.forwarding import Answer, CallerRequest, CrashRegister, Forwarder, make_key_prefix
from balsamrail.forwarding.attempt_error import AttemptError

ADDRESSES = ['127.0.0.1:9001', '127.0.0.1:9002', '127.0.0.1:9003']
OTHER = make_member('attiki-2', caller_address='127.0.0.1:7002')


class ScriptedPool:
    """Ends attempts as the script says; its last word repeats."""

    def __init__(self, script, history):
        self.script = list(script)
        self.history = history
        self.sent = []
        self.fresh = []
        self.targets = []
        self.passed_on = []
        self.states = []
        self.crashed = set()
        self.executor_answers = True

    def dump(self):
        return {}

    async def exchange(self, *, target, outgoing, deadline, fresh=False, reused_deadline=None):
        if target.address == OTHER.caller_address:
            self.passed_on.append(outgoing)
            self.history.run(outgoing.headers['Idempotency-Key'], b'passed')
            if not self.executor_answers:
                raise AttemptError(detail='silent', may_have_run=False)
            return Answer(status=200, body=b'passed')
        word = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        self.sent.append(outgoing)
        self.fresh.append(fresh)
        self.targets.append(target.address)
        self.states.append('cancelled')
        number = len(self.sent)
        answer = await self._end(word, target, outgoing, deadline, number)
        self.states[number - 1] = 'finished'
        return answer

    async def refuses(self, address):
        return address in self.crashed

    async def _end(self, word, target, outgoing, deadline, number):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.01)
        body = str(number).encode()
        if word not in {'refuse', 'shed', 'late-connect'}:
            self.history.run(outgoing.headers['Test-Call'], body)
        match word:
            case 'refuse':
                raise AttemptError(detail='refused', may_have_run=False)
            case 'late-connect':
                await asyncio.sleep(deadline - loop.time())
                raise AttemptError(detail='late', may_have_run=False, timed_out=True)
            case 'cut':
                raise AttemptError(detail='cut', may_have_run=True)
            case 'stale':
                raise AttemptError(detail='closed', may_have_run=True, reused=True)
            case 'crash':
                self.crashed.add(target.address)
                raise AttemptError(detail='reset', may_have_run=True)
            case 'hang':
                await asyncio.sleep(deadline - loop.time())
                raise AttemptError(detail='late', may_have_run=True, timed_out=True)
            case 'slow':
                await asyncio.sleep(0.5)
            case 'shed':
                return Answer(status=503, headers=HTTPHeaders({'Retry-After': '7'}))
        return Answer(status=200, body=body, headers=HTTPHeaders({'Keep-Alive': 'x', 'A': 'b'}))


class Claims:
    def __init__(self, holder):
        self.holder = holder

    async def claim(self, key, *, expiry_wall_s):
        if self.holder is None:
            raise KeyClaimError(detail='the store is down')
        return self.holder


class Host:
    """A forwarder with stand-ins around it, made inside the loop."""

    def __init__(self, script, **limits):
        self.environment = make_environment(**limits)
        self.history = History()
        self.pool = ScriptedPool(script, self.history)
        self.router = Router()
        self.network = PeerNetwork()
        self.members = Members({OTHER.host: OTHER})
        self.told = None
        self.make_forwarder()

    def make_forwarder(self, claims=None):
        self.forwarder = Forwarder(
            environment=self.environment,
            tracker=Tracker(make_declaration(ADDRESSES, refusal_statuses=[503])),
            router=self.router,
            network=self.network,
            members=self.members,
            claims=claims,
            pool=self.pool,
        )

    def key(self, part='x', *, lasts_s=600):
        return (
            make_key_prefix(
                host=self.environment.settings.host,
                incarnation=self.environment.incarnation,
                expiry_wall_s=self.environment.clock.wall() + lasts_s,
            )
            + f'.{part}'
        )

    async def send(self, method, key=None, *, path='/book', body=b'', deadline=None, **headers):
        request = CallerRequest(
            method=method,
            service='bookings',
            path=path,
            caller='10.0.0.1',
            body=body,
            deadline=deadline,
        )
        request.headers.update({name.replace('_', '-'): text for name, text in headers.items()})
        if path == 'service':
            request.service, request.path = 'none', '/'
        if key is not None:
            request.headers['Idempotency-Key'] = key
        name = key or f'call {len(self.history.calls)}'
        request.headers['Test-Call'] = name
        call = self.history.call(name)
        started = asyncio.get_running_loop().time()
        try:
            answer = await self.forwarder.handle(request)
        except RequestError as error:
            self.told, self.error = error.code, error
            self.history.end(call, error.outcome)
        else:
            self.told, self.answer = 'done', answer
            self.history.end(call, 'done', answer.body)
        # A request that is given up is answered at once, not after another pause.
        assert asyncio.get_running_loop().time() - started < 2.001

    async def send_named(self, request):
        holder = f'{OTHER.host}:{{}}:{int(self.environment.clock.wall()) + 600}.x'
        live = holder.format(OTHER.incarnation)
        match request:
            case 'GET' | 'POST':
                await self.send(request)
            case 'keyed POST':
                await self.send('POST', self.first_key)
            case 'keyed POST of another body':
                await self.send('POST', self.first_key, body=b'other')
            case 'keyed POST after its deadline':
                await self.send('POST', self.first_key, deadline=0)
            case 'other keyed POST':
                await self.send('POST', self.key('other'))
            case 'POST for a live host':
                await self.send('POST', live)
            case 'POST for a live host that does not answer':
                self.pool.executor_answers = False
                await self.send('POST', live)
            case 'POST for an earlier incarnation':
                await self.send('POST', holder.format('1' * 20))
            case 'POST for an earlier incarnation of this host':
                key = self.key().replace(self.environment.incarnation, '1' * 20)
                await self.send('POST', key)
            case 'POST for an unknown host':
                await self.send('POST', live.replace(OTHER.host, 'attiki-9'))
            case 'passed on POST for a live host':
                await self.send('POST', live, Balsamrail_Passed_On='attiki-3')
            case 'POST with an own key':
                await self.send('POST', 'booking-17')
            case 'POST with an own key claimed here':
                self.make_forwarder(Claims(self.environment.holder))
                await asyncio.gather(*(self.send('POST', 'booking-17') for _ in range(3)))
            case 'POST with an own key, then the store fails':
                claims = Claims(self.environment.holder)
                self.make_forwarder(claims)
                await self.send('POST', 'booking-17')
                claims.holder = None
                await self.send('POST', 'booking-17')
            case 'POST with an own key claimed elsewhere':
                self.make_forwarder(Claims(OTHER.holder))
                await self.send('POST', 'booking-17')
            case 'POST with a key that lasts too long':
                await self.send('POST', self.key(lasts_s=1e6))
            case 'POST with an empty key':
                await self.send('POST', '')
            case 'POST with dot segments':
                await self.send('POST', path='/lookups/%2e%2e/book')
            case 'POST with an escaped lookup path':
                await self.send('POST', path='/%6cookups')
            case 'POST to an unknown service':
                await self.send('POST', path='service')
            case 'GET with hop-by-hop headers':
                await self.send(
                    'GET', 'k', Connection='close, X-Own', X_Own='1', TE='trailers', A='b'
                )

    async def meanwhile(self, what):
        match what:
            case 'the key expires':
                await asyncio.sleep(601)
            case 'the kept answers exceed their limit' | 'the table is full':
                for part in 'ab':
                    await self.send('POST', self.key(part))
            case 'the router has no share':
                self.router.refusal = OverloadedError(detail='no share')
            case 'the host is leaving':
                self.forwarder.refuse_new()


@given('a host with {count:d} targets whose attempts end with {script}')
def step_host(context, count, script):
    context.script = script.split()
    context.actions = []


@when('a caller sends {request} and goes away')
def step_goes_away(context, request):
    context.is_idempotent = request.startswith('GET')

    async def act(host):
        task = asyncio.create_task(host.send_named(request))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        running = host.forwarder.in_flight()
        await asyncio.sleep(1)
        assert running == host.pool.states.count('finished')
        assert host.forwarder.in_flight() == 0

    context.actions.append(act)


@when('a caller sends {request}')
def step_send(context, request):
    context.is_idempotent = request.startswith('GET')
    context.actions.append(lambda host: host.send_named(request))


@when('{count:d} callers send GET one after another')
def step_many(context, count):
    context.is_idempotent = True

    async def act(host):
        for _ in range(count):
            await host.send('GET')

    context.actions.append(act)


@when('meanwhile {what}')
def step_meanwhile(context, what):
    context.limits = {
        'the kept answers exceed their limit': {'kept_answer_bytes': 2_500},
        'the table is full': {'kept_keys': 3},
    }.get(what, {})
    context.actions.append(lambda host: host.meanwhile(what))


def play(context):
    """Run the scenario's actions once, when the first result is asked for."""
    if hasattr(context, 'host'):
        return context.host
    limits = getattr(context, 'limits', {})

    async def main():
        context.host = Host(context.script, **limits)
        context.host.first_key = context.host.key()
        for action in context.actions:
            await action(context.host)

    run_virtual(main())
    faults = [fault for fault in context.host.history.faults() if not context.is_idempotent]
    assert faults == [], faults
    for admission in context.host.router.admissions:
        assert len(admission.results) == 1, admission.results
    return context.host


@then('the caller is told {told}')
def step_told(context, told):
    assert play(context).told == told, (context.host.told, context.host.pool.sent)


@then('{count:d} attempts were made')
def step_sent(context, count):
    assert len(play(context).pool.sent) == count, len(context.host.pool.sent)


@then('no target that failed was asked again')
def step_other_target(context):
    targets = play(context).pool.targets
    # A connection that went stale says nothing of its target.
    assert 'stale' in context.script or len(set(targets)) == len(targets), targets


@then('at most {count:d} attempts were made')
def step_at_most(context, count):
    assert 200 < len(play(context).pool.sent) <= count, len(context.host.pool.sent)


@then('{count:d} requests were passed on')
def step_passed(context, count):
    passed = play(context).pool.passed_on
    assert len(passed) == count
    assert all(outgoing.headers['Balsamrail-Passed-On'] == 'attiki-1' for outgoing in passed)


@then('the upstream attempt is {state}')
def step_state(context, state):
    assert play(context).pool.states == [state]


@then('the attempts ask for {connections} connections')
def step_fresh(context, connections):
    asked = ['fresh' if fresh else 'any' for fresh in play(context).pool.fresh]
    assert asked == connections.split(), asked


@then('neither side sees a hop-by-hop header')
def step_hop(context):
    host = play(context)
    names = {name for name, _ in host.pool.sent[0].headers.get_all()}
    assert names == {'A', 'Deadline-Ms', 'Host', 'Idempotency-Key', 'Request-Id', 'Test-Call'}, (
        names
    )
    assert dict(host.answer.headers) == {'A': 'b'}


@then("the attempt has its own id, the remaining time and the caller's key")
def step_headers(context):
    headers = context.host.pool.sent[0].headers
    assert headers['Request-Id'].startswith(context.host.environment.incarnation)
    assert headers['Deadline-Ms'] == '2000'
    assert headers['Idempotency-Key'] == 'k'


WORDS = strategies.sampled_from(['ok', 'slow', 'refuse', 'shed', 'cut', 'hang', 'stale'])
# Key number, pause before the call and patience of its caller, in hundredths of a second.
CALLS = strategies.tuples(
    strategies.integers(0, 2), strategies.integers(0, 60), strategies.integers(1, 300)
)


@then('no interleaving of {kind} breaks a promise')
def step_interleavings(context, kind):
    limits = {'kept_keys': 2, 'kept_answer_bytes': 1_500} if 'tiny' in kind else {}

    @given_examples(
        script=strategies.lists(WORDS, min_size=1, max_size=8),
        calls=strategies.lists(CALLS, min_size=1, max_size=12),
    )
    def check(script, calls):
        run_virtual(interleave(script, calls, limits))

    check()


async def interleave(script, calls, limits):
    host = Host(script, **limits)
    keys = [host.key(str(number), lasts_s=1 + 2 * number) for number in range(3)]
    tasks = []
    for number, pause, patience in calls:
        await asyncio.sleep(pause / 100)
        tasks.append(asyncio.create_task(with_patience(host.send('POST', keys[number]), patience)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(3)
    assert host.history.faults() == [], host.history.faults()
    assert host.forwarder.in_flight() == 0
    kept = host.forwarder.dump()['keys']
    assert kept['records'] <= limits.get('kept_keys', 3)
    assert kept['kept_bytes'] <= limits.get('kept_answer_bytes', 10_000)
    await check_forgotten(host)


async def check_forgotten(host):
    await asyncio.sleep(6)
    await host.send('POST', host.key('last'))
    kept = host.forwarder.dump()['keys']
    assert kept['records'] <= 1 and kept['kept_bytes'] <= 1_100, kept


@then('a key that expires during its run leaves nothing behind')
def step_expires(context):
    async def main():
        host = Host(['slow'])
        key = host.key(lasts_s=3)
        expiry_wall_s = int(key.split(':')[2].split('.')[0])
        await asyncio.sleep(expiry_wall_s - host.environment.clock.wall() - 0.3)
        run = asyncio.create_task(host.send('POST', key))
        await asyncio.sleep(0.4)
        await host.send('POST', host.key('next', lasts_s=3))
        await run
        await check_forgotten(host)

    run_virtual(main())


async def with_patience(call, patience):
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(call, patience / 100)


@then('the crashes are reported to all hosts')
def step_reported(context):
    targets = [report.target for report in context.host.network.flooded]
    assert targets == ADDRESSES[:2], targets


@then('the request is refused for 10 minutes on every host')
def step_refused(context):
    async def main():
        environment = make_environment()
        network = PeerNetwork()
        register = CrashRegister(environment=environment, network=network)
        reports = context.host.network.flooded
        for report in reports:
            network.receivers[0]('attiki-1', report)
        environment_wall = environment.clock.wall()
        for pause, refused in ((0, True), (590, True), (20, False)):
            await asyncio.sleep(pause)
            assert is_refused(register, reports[0].fingerprint) == refused, environment_wall

    run_virtual(main())


def is_refused(register, fingerprint):
    try:
        register.check(fingerprint, limit=2)
    except CrashesTargetsError:
        return True
    return False


@then('a suspect does not start beside another suspect')
def step_isolated(context):
    async def main():
        register = CrashRegister(environment=make_environment(), network=PeerNetwork())
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
