"""State shared by the handlers of the upstream stand-in."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from standins.execution import Execution
from standins.execution_log import ExecutionLog
from standins.health_history import HealthHistory
from standins.slot_queue import SlotQueue
from standins.upstream_behaviour import UpstreamBehaviour

_DIGEST_BYTES = 16


@dataclass(slots=True, kw_only=True)
class UpstreamState:
    """The state of one start of an upstream.

    ``crash`` ends the process, or closes its sockets in tests. ``work_after_leaving_s`` is the
    time between the start of leaving and the arrival of the last request.
    """

    service: str
    address: str
    behaviour: UpstreamBehaviour
    log: ExecutionLog
    crash: Callable[[], None]
    started_at: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    queue: SlotQueue = field(default_factory=SlotQueue)
    health: HealthHistory = field(default_factory=HealthHistory)
    counts: Counter[str] = field(default_factory=Counter)
    open_streams: set[IOStream] = field(default_factory=set)
    silent_streams: set[IOStream] = field(default_factory=set)
    previous: Execution | None = None
    leaving_since: float | None = None
    work_after_leaving_s: float = 0

    def record_arrival(self) -> None:
        """Count a request and record how long after the start of leaving it arrived."""
        self.counts['arrived'] += 1
        if self.leaving_since is not None:
            now = asyncio.get_running_loop().time()
            self.counts['arrived_while_leaving'] += 1
            self.work_after_leaving_s = now - self.leaving_since

    def record_health(self) -> None:
        """Append the current state and load to the health history."""
        if self.behaviour.state != 'leaving':
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = asyncio.get_running_loop().time()
        self.health.record(state=self.behaviour.state, in_flight=self.queue.running)

    def refuses(self) -> bool:
        """Return whether all requests are refused."""
        return self.behaviour.refuse_unless_live and self.behaviour.state != 'live'

    def service_time_s(self) -> float:
        """Return the current duration of an execution."""
        warm_at = self.started_at + self.behaviour.cold_s
        cold = asyncio.get_running_loop().time() < warm_at
        factor = self.behaviour.cold_factor if cold else 1
        return self.behaviour.service_time_s * factor

    def crashes_on(self, request: HTTPServerRequest) -> bool:
        """Return whether a request crashes the process."""
        marker = self.behaviour.crash_marker
        return bool(marker) and (marker in request.uri or marker.encode() in request.body)

    def begin(self, request: HTTPServerRequest, *, arrived_s: float) -> Execution:
        """Record an execution that starts now."""
        execution = Execution(
            number=len(self.log.executions) + 1,
            service=self.service,
            address=self.address,
            method=request.method or '',
            path=request.uri or '',
            request_id=request.headers.get('Request-Id', ''),
            idempotency_key=request.headers.get('Idempotency-Key', ''),
            body_digest=blake2b(request.body, digest_size=_DIGEST_BYTES).hexdigest(),
            arrived_s=arrived_s,
            began_s=asyncio.get_running_loop().time(),
        )
        self.log.begin(execution)
        self.counts['executed'] += 1
        return execution
