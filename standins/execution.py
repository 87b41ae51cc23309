"""One execution of a request by the stand-in of an upstream."""

import json
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Execution:
    """``state`` is ``running``, ``done``, ``cancelled``, ``expired`` or ``crashed``.

    The times are the loop's, in seconds, which all processes of a machine share. A request counts
    for its target from ``arrived_s`` on, also while it waits for a slot.
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
        """Return the body that answers this execution, padded to ``size`` bytes.

        It does not depend on the state, so that a checker can compare what a caller got with
        what ``/executions`` shows, byte for byte.
        """
        named = {
            'service': self.service,
            'address': self.address,
            'execution': self.number,
            'request_id': self.request_id,
            'idempotency_key': self.idempotency_key,
            'path': self.path,
            'body_digest': self.body_digest,
        }
        text = json.dumps(named).encode()
        padding = f' {self.address}#{self.number}'.encode()
        missing = max(0, size - len(text))
        return text + (padding * (missing // len(padding) + 1))[:missing]
