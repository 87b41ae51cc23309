"""What every part of a host needs: its settings, clock, log, metrics and identity."""

import secrets
from dataclasses import dataclass, field

from balsamrail.clock import Clock
from balsamrail.logs import Log
from balsamrail.metrics import Metrics
from balsamrail.settings import Settings

_MS_IN_S = 1_000
_RANDOM_BITS = 32


@dataclass(slots=True, kw_only=True)
class Environment:
    """Passed explicitly to each part of a host; there is no module-level state.

    It is made inside a running event loop::

        environment = Environment.create(settings=settings)
    """

    settings: Settings
    clock: Clock
    log: Log
    metrics: Metrics = field(default_factory=Metrics)
    incarnation: str

    @classmethod
    def create(cls, *, settings: Settings, log: Log | None = None) -> 'Environment':
        """Make the environment of a host that starts now, with a new incarnation."""
        clock = Clock()
        started_ms = int(clock.wall() * _MS_IN_S)
        return cls(
            settings=settings,
            clock=clock,
            log=log or Log(host=settings.host),
            incarnation=f'{started_ms:012x}{secrets.randbits(_RANDOM_BITS):08x}',
        )

    @property
    def holder(self) -> str:
        """The name under which this incarnation holds shares and claims."""
        return f'{self.settings.host}@{self.incarnation}'
