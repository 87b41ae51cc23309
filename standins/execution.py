"""A request executed by the upstream stand-in."""

import json
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Execution:
    """An executed request and its state.

    ``state`` is ``running``, ``done``, ``cancelled``, ``expired`` or ``crashed``.

    Times are event loop times in seconds; the clock is shared by all processes of a machine. A
    request counts towards the load of its target from ``arrived_s`` on, including the time it
    waits for a slot.
    """

    number: int
    service: str
    address: str
    method: str
    path: str
    request_id: str
    idempotency_key: str
    body_digest: str
    state: str = 'running'
    arrived_s: float = 0
    began_s: float = 0
    ended_s: float = 0

    def answer(self, *, size: int = 0) -> bytes:
        """Return the response body of this execution, padded to ``size`` bytes.

        The body does not depend on the state, so that a checker can compare the response that a
        caller received with the entry in ``/executions`` byte for byte.
        """
        document = {
            'service': self.service,
            'address': self.address,
            'execution': self.number,
            'request_id': self.request_id,
            'idempotency_key': self.idempotency_key,
            'path': self.path,
            'body_digest': self.body_digest,
        }
        text = json.dumps(document).encode()
        padding = f' {self.address}#{self.number}'.encode()
        missing_bytes = max(0, size - len(text))
        return text + (padding * (missing_bytes // len(padding) + 1))[:missing_bytes]
