"""Requests as received by targets."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Arrival:
    """A request that reached the target it was addressed to.

    :param has_run: whether it was executed; otherwise it was refused.
    :param start: id and start number of the target, such as ``i-3/2``.
    :param is_leaving: whether the response announced the shutdown of the target.
    :param refused_for_s: the ``Retry-After`` of the response, if it was a valid time and the
        response was not lost in transit.
    :param customer: the customer that the request is of, empty if it names none.
    :param has_key: whether it had an API key.
    """

    request_id: str
    start: str
    service: str
    path: str
    arrived_at: float
    has_run: bool = False
    answered_at: float = 0
    is_leaving: bool = False
    refused_for_s: float | None = None
    customer: str = ''
    has_key: bool = False

    @property
    def target_id(self) -> str:
        """The target id without the start number."""
        return self.start.partition('/')[0]
