"""Responses of targets."""

from dataclasses import dataclass

from balsamrail.delivery.http_message import HttpResponse
from balsamrail.placement.reported_load import ReportedLoad

_MIN_ERROR_STATUS = 400


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetResponse:
    """A complete response with its parsed headers.

    :param is_signed: whether the response carries the target's signature.
    :param is_not_run: whether the target states that it did not execute the request.
    :param is_misdirected: whether a target other than the addressed one responded.
    """

    http: HttpResponse
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    load: ReportedLoad | None

    @property
    def is_final(self) -> bool:
        """Whether the caller gets the response: it is no refusal, and is signed or an error."""
        is_error = self.http.status >= _MIN_ERROR_STATUS
        return not self.is_not_run and (self.is_signed or is_error)
