"""A connection pool whose attempts follow a script."""

import asyncio

from platform_helpers import make_member
from tornado.httputil import HTTPHeaders

from balsamrail.forwarding import Response
from balsamrail.forwarding.attempt_error import AttemptError

OTHER = make_member('attiki-2', caller_address='127.0.0.1:7002')


class ScriptedPool:
    """Ends each attempt as the next step of the script says; the last step repeats."""

    def __init__(self, script, history):
        self.script = list(script)
        self.history = history
        self.sent = []
        self.fresh = []
        self.targets = []
        self.passed_on = []
        self.states = []
        self.crashed = set()
        self.key_host_responds = True

    def dump(self):
        return {}

    async def exchange(
        self, *, target, upstream_request, deadline, fresh=False, reused_deadline=None
    ):
        if target.address == OTHER.caller_address:
            self.passed_on.append(upstream_request)
            self.history.run(upstream_request.headers['Idempotency-Key'], b'passed')
            if not self.key_host_responds:
                raise AttemptError(detail='silent', may_have_run=False)
            return Response(status=200, body=b'passed')
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        self.sent.append(upstream_request)
        self.fresh.append(fresh)
        self.targets.append(target.address)
        self.states.append('cancelled')
        number = len(self.sent)
        response = await self._run_step(step, target, upstream_request, deadline, number)
        self.states[number - 1] = 'finished'
        return response

    async def refuses_connections(self, address):
        return address in self.crashed

    async def _run_step(self, step, target, upstream_request, deadline, number):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.01)
        body = str(number).encode()
        if step not in {'refuse', 'shed', 'late-connect'}:
            self.history.run(upstream_request.headers['Test-Call'], body)
        match step:
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
                return Response(status=503, headers=HTTPHeaders({'Retry-After': '7'}))
        return Response(status=200, body=body, headers=HTTPHeaders({'Keep-Alive': 'x', 'A': 'b'}))
