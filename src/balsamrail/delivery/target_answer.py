"""What a target answered."""

from dataclasses import dataclass

from balsamrail.delivery.http_message import HttpAnswer
from balsamrail.placement.reported_load import ReportedLoad

_FIRST_ERROR_STATUS = 400


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

    @property
    def is_final(self) -> bool:
        """Whether the caller gets it: the target's own success, or an error of its own."""
        is_error = self.http.status >= _FIRST_ERROR_STATUS
        return not self.is_not_run and (self.is_signed or is_error)
