"""A request together with what was decided about it."""

from dataclasses import dataclass

from balsamrail.configuration import Declaration, Route, Service
from balsamrail.forwarding.caller_request import CallerRequest


@dataclass(slots=True, kw_only=True, frozen=True)
class Plan:
    """How a request is forwarded. ``deadline`` is the loop's time in seconds."""

    request: CallerRequest
    declaration: Declaration
    service: Service
    route: Route
    deadline: float
    fingerprint: bytes
