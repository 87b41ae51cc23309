"""HTTP handlers of the upstream stand-in."""

import asyncio
import json
from dataclasses import asdict, fields

from tornado.web import Finish, RequestHandler

from standins.execution import Execution
from standins.serving import drop_connection, stream_of
from standins.upstream_behaviour import UpstreamBehaviour
from standins.upstream_state import UpstreamState


class RequestExecutor(RequestHandler):
    """Handles all requests of the service."""

    SUPPORTED_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
    _work: asyncio.Task[None] | None = None

    def initialize(self, state: UpstreamState) -> None:
        self.state = state

    async def execute(self, *_: str) -> None:
        """Execute the request, or refuse it before the execution starts."""
        self._work = asyncio.ensure_future(self._serve())
        try:
            await self._work
        except asyncio.CancelledError:
            raise Finish

    get = post = put = patch = delete = head = options = execute

    def on_connection_close(self) -> None:
        if self._work is not None:
            self._work.cancel()

    def compute_etag(self) -> None:
        """Disable ETags; with one, Tornado answers conditional requests with 304."""

    async def _serve(self) -> None:
        state, behaviour = self.state, self.state.behaviour
        if stream_of(self) in state.silent_streams:
            await asyncio.Event().wait()
        state.record_arrival()
        arrived_s = asyncio.get_running_loop().time()
        deadline_ms = self.request.headers.get('Deadline-Ms')
        wait_s = int(deadline_ms) / 1_000 if deadline_ms else None
        deadline = None if wait_s is None else arrived_s + wait_s
        if state.refuses() or not await state.queue.acquire(
            slots=behaviour.slots, queue=behaviour.queue, wait_s=wait_s
        ):
            self._refuse()
            return
        state.record_health()
        try:
            execution = await self._run(deadline, arrived_s)
        finally:
            state.queue.release()
            state.record_health()
        if execution.state == 'expired':
            self.set_status(504)
            self.finish()
        else:
            await self._answer(execution)

    async def _run(self, deadline: float | None, arrived_s: float) -> Execution:
        log = self.state.log
        execution = self.state.begin(self.request, arrived_s=arrived_s)
        if self.state.crashes_on(self.request):
            log.end_all(state='crashed')
            self.state.crash()
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(self.state.service_time_s())
        except TimeoutError:
            log.end(execution, state='expired')
        except asyncio.CancelledError:
            log.end(execution, state='cancelled')
            self.state.counts['cancelled'] += 1
            raise
        log.end(execution, state='done')
        return execution

    def _refuse(self) -> None:
        self.state.counts['refused'] += 1
        self.set_status(self.state.behaviour.refusal_status)
        self.set_header('Request-Id', self.request.headers.get('Request-Id', ''))
        self.finish({'refused': True})

    async def _answer(self, execution: Execution) -> None:
        behaviour = self.state.behaviour
        if behaviour.consume('late_next'):
            await asyncio.sleep(behaviour.late_s)
        answered, self.state.previous = execution, execution
        if self._crossed is not None and behaviour.consume('crossed_next'):
            answered = self._crossed
        body = answered.answer(size=behaviour.answer_bytes)
        if behaviour.consume('drop_next'):
            drop_connection(self)
        elif behaviour.consume('cut_next'):
            await self._cut(answered, f'Content-Length: {len(body)}', body[: len(body) // 2])
        elif behaviour.consume('cut_chunked_next'):
            chunk = b'%x\r\n%b\r\n' % (len(body), body)
            await self._cut(answered, 'Transfer-Encoding: chunked', chunk)
        else:
            self.set_header('Content-Type', 'application/json')
            self.set_header('Request-Id', answered.request_id)
            self.finish(body)

    async def prepare(self) -> None:
        # The previous request is the last one that was answered before this one arrived.
        self._crossed = self.state.previous

    async def _cut(self, answered: Execution, framing: str, part: bytes) -> None:
        head = f'HTTP/1.1 200 OK\r\n{framing}\r\nRequest-Id: {answered.request_id}\r\n\r\n'
        stream = self.detach()
        await stream.write(head.encode() + part)
        stream.close()


class HealthHandler(RequestHandler):
    """``/health``, which can report delayed or false values."""

    def initialize(self, state: UpstreamState) -> None:
        self.state = state

    async def get(self) -> None:
        if stream_of(self) in self.state.silent_streams:
            await asyncio.Event().wait()
        behaviour = self.state.behaviour
        state, in_flight = self.state.health.state_at(lag_s=behaviour.health_lag_s)
        self.state.counts['probed'] += 1
        self.write(
            {
                'state': behaviour.health_state or state,
                'in_flight': in_flight
                if behaviour.health_in_flight < 0
                else behaviour.health_in_flight,
                'slots': behaviour.slots,
            }
        )


class ExecutionsHandler(RequestHandler):
    """``/executions?after=n``: executions with a number greater than n."""

    def initialize(self, state: UpstreamState) -> None:
        self.state = state

    def get(self) -> None:
        after = int(self.get_query_argument('after', '0'))
        entries = [asdict(execution) for execution in self.state.log.executions[after:]]
        self.write(
            {
                'counts': dict(self.state.counts),
                'work_after_leaving_s': self.state.work_after_leaving_s,
                'executions': entries,
            }
        )


class BehaviourHandler(RequestHandler):
    """``/behaviour``."""

    def initialize(self, state: UpstreamState) -> None:
        self.state = state

    def get(self) -> None:
        self.write(asdict(self.state.behaviour))

    def post(self) -> None:
        changes = json.loads(self.request.body)
        unknown = set(changes) - {entry.name for entry in fields(UpstreamBehaviour)}
        if unknown:
            self.set_status(400)
            self.write({'error': f'unknown behaviour: {", ".join(sorted(unknown))}'})
            return
        for name, setting in changes.items():
            setattr(self.state.behaviour, name, setting)
        if self.state.behaviour.silence_open:
            self.state.behaviour.silence_open = False
            own = stream_of(self)
            self.state.silent_streams.update(self.state.open_streams - {own})
        self.state.record_health()
        self.write(asdict(self.state.behaviour))
