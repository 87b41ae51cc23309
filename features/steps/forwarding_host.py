"""A forwarder of one host with test doubles, in virtual time."""

import asyncio

from forwarding_parts import (
    Members,
    PeerNetwork,
    Router,
    Tracker,
    make_declaration,
    make_environment,
)
from history import History
from scripted_pool import OTHER, ScriptedPool

from balsamrail.errors import KeyClaimError, OverloadedError, RequestError
from balsamrail.forwarding import CallerRequest, Forwarder, make_key_prefix

ADDRESSES = ['127.0.0.1:9001', '127.0.0.1:9002', '127.0.0.1:9003']


class Claims:
    def __init__(self, holder):
        self.holder = holder

    async def claim(self, key, *, expiry_wall_s):
        if self.holder is None:
            raise KeyClaimError(detail='the store is down')
        return self.holder


class Host:
    """A forwarder with test doubles; must be created inside the event loop."""

    def __init__(self, script, **limits):
        self.environment = make_environment(**limits)
        self.history = History()
        self.pool = ScriptedPool(script, self.history)
        self.router = Router()
        self.network = PeerNetwork()
        self.members = Members({OTHER.host: OTHER})
        self.result = None
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
            response = await self.forwarder.handle(request)
        except RequestError as error:
            self.result, self.error = error.code, error
            self.history.end(call, error.outcome)
        else:
            self.result, self.response = 'done', response
            self.history.end(call, 'done', response.body)
        # A request that is not retried gets its response immediately, without another backoff.
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
                self.pool.key_host_responds = False
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
                self.forwarder.reject_new_requests()
