"""What a target answered."""

from dataclasses import dataclass

from balsamrail.delivery.http_message import HttpAnswer
from balsamrail.placement.reported_load import ReportedLoad


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetAnswer:
    """A complete answer with what its headers say.

    :param is_signed: whether it carries the target's signature.
    :param is_not_run: whether the target states that it did not run the request.
    :param is_misdirected: whether another target answered than the one that was named.
    """

    http: HttpAnswer
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    load: ReportedLoad | None
