"""The parameters with which a request is forwarded."""

from dataclasses import dataclass

from balsamrail.configuration import Declaration, Route, Service
from balsamrail.forwarding.caller_request import CallerRequest


@dataclass(slots=True, kw_only=True, frozen=True)
class Plan:
    """How to forward one request; ``deadline`` is event loop time in seconds."""

    request: CallerRequest
    declaration: Declaration
    service: Service
    route: Route
    deadline: float
    fingerprint: bytes
