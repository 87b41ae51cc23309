"""What one host tells another about a request that it sends there."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Handover:
    """A request that a host received from a caller and sent to this host.

    The request keeps the limits that the first host applies: this host makes at most
    ``max_attempts`` attempts, and never sends the request to a further host.

    :param origin: the host that received the request from the caller.
    :param max_attempts: how many targets the request may still be sent to.
    :param tried: the targets to which the request was sent before.
    :param customer: the customer that the first host identified, ``None`` if it identified none.
    :param attempted: the targets to which this host has sent it.
    """

    origin: str
    max_attempts: int
    tried: tuple[str, ...] = ()
    customer: str | None = None
    attempted: list[str] = field(default_factory=list)
