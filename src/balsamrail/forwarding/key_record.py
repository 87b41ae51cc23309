"""The record of one idempotency key."""

import asyncio
from dataclasses import dataclass

from balsamrail.exchange.response import Response


@dataclass(slots=True, kw_only=True)
class KeyRecord:
    """One run of a keyed request.

    ``state`` is ``in_flight``, ``done`` or ``unknown``. ``task`` is set while the run is in flight
    and ``response`` while the response of a finished run is cached.
    """

    fingerprint: bytes
    expiry_wall_s: float
    state: str = 'in_flight'
    task: asyncio.Task[Response] | None = None
    response: Response | None = None
