"""What callers were told and what targets did, in seconds of the event loop."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Sent:
    """One request of a caller.

    :param told: done, refused, failed (an answer that promises nothing), denied, or cut if no
        complete answer came.
    """

    request_id: str
    host: str
    path: str
    is_idempotent: bool
    sent_at: float
    told: str = 'cut'
    status: int = 0
    ended_at: float = 0
    fault: str = ''


@dataclass(slots=True, kw_only=True)
class Run:
    """One request at a target."""

    request_id: str
    target_id: str
    service: str
    path: str
    arrived_at: float


@dataclass(slots=True, kw_only=True)
class Span:
    """A fault that touches a host, or all of them if ``host`` is empty."""

    kind: str
    host: str
    begin: float
    end: float = float('inf')


@dataclass(slots=True, kw_only=True)
class History:
    """Everything that the promises are checked against.

    :param leaving: when a target was acknowledged as leaving or gone, by its id.
    :param manifests: when each version was acknowledged, and the service of the moved route.
    :param evacuated: zone, from and until.
    """

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    stops: list[Span] = field(default_factory=list)
    leaving: dict[str, float] = field(default_factory=dict)
    manifests: list[tuple[float, str]] = field(default_factory=list)
    evacuated: list[Span] = field(default_factory=list)
    zone_by_target: dict[str, str] = field(default_factory=dict)

    def is_calm(self, host: str, begin: float, end: float) -> bool:
        """Return whether no fault touched a host in a span of time."""
        return not any(
            span.host in {'', host} and span.begin <= end and span.end >= begin
            for span in self.spans
        )
