"""Dependencies shared by the components of a host, such as settings, clock, log and metrics."""

import secrets
from dataclasses import dataclass, field

from balsamrail.clock import Clock
from balsamrail.exchange.caller_refusals import CallerRefusals
from balsamrail.exchange.request_memory_limiter import RequestMemoryLimiter
from balsamrail.exchange.response_memory_limiter import ResponseMemoryLimiter
from balsamrail.logs import Log
from balsamrail.metrics import Metrics
from balsamrail.settings import Settings

_MS_IN_S = 1_000
_INCARNATION_RANDOM_BITS = 32


@dataclass(slots=True, kw_only=True)
class Environment:
    """Passed explicitly to each component of a host, in place of module-level state.

    ``answer_memory`` and ``caller_memory`` have the limits of the settings with which the process
    started. ``caller_refusals`` counts the callers that are cut off at a limit.

    Must be created inside a running event loop::

        environment = Environment.create(settings=settings)
    """

    settings: Settings
    clock: Clock
    log: Log
    metrics: Metrics = field(default_factory=Metrics)
    incarnation: str
    answer_memory: ResponseMemoryLimiter = field(init=False)
    caller_memory: RequestMemoryLimiter = field(init=False)
    caller_refusals: CallerRefusals = field(init=False)

    def __post_init__(self) -> None:
        """Derive the limits on responses and requests from the memory of the process."""
        self.answer_memory = ResponseMemoryLimiter(
            memory_mb=self.settings.memory_mb, metrics=self.metrics
        )
        self.caller_refusals = CallerRefusals(clock=self.clock, log=self.log, metrics=self.metrics)
        self.caller_memory = RequestMemoryLimiter(
            clock=self.clock,
            refusals=self.caller_refusals,
            memory_mb=self.settings.memory_mb,
            limit_mb=self.settings.limits.caller_memory_mb,
            min_bytes_per_s=self.settings.limits.min_body_bytes_per_s,
        )

    @classmethod
    def create(cls, *, settings: Settings, log: Log | None = None) -> 'Environment':
        """Create the environment of a starting host, with a new incarnation."""
        clock = Clock()
        started_ms = int(clock.wall() * _MS_IN_S)
        return cls(
            settings=settings,
            clock=clock,
            log=log or Log(host=settings.host),
            incarnation=f'{started_ms:012x}{secrets.randbits(_INCARNATION_RANDOM_BITS):08x}',
        )

    @property
    def holder(self) -> str:
        """The name under which this incarnation holds shares and claims."""
        return f'{self.settings.host}@{self.incarnation}'
