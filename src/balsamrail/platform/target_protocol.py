"""The platform's HTTP protocol for targets."""

import math
import re
from dataclasses import dataclass
from http import HTTPStatus

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.health_report import HealthReport
from balsamrail.delivery.http_message import HttpRequest, HttpResponse
from balsamrail.delivery.target_response import TargetResponse
from balsamrail.placement.reported_load import ReportedLoad
from balsamrail.placement.target_notice import TargetNotice
from balsamrail.platform import headers
from balsamrail.platform.customer_headers import ForwardedHeaders

_MS_IN_S = 1_000
_MISDIRECTED = 421
# The figures that every target reports, see ReportedLoad; newer ones add the slowdown.
_MIN_LOAD_FIELDS = 3
_USUAL_SLOWDOWN = 100
_NUMBER_FORMAT = re.compile(r'\d+(\.\d*)?([eE][+-]?\d+)?', re.ASCII)
# Length to which an invalid header value is cut in the log.
_MAX_LOGGED_CHARACTERS = 40
_EMPTY_TEXT = 'empty'
_FORWARDED_HEADERS = ForwardedHeaders(
    without=frozenset(
        (
            'content-length',
            headers.TIMEOUT_MS.lower(),
            headers.EXPECTED_TARGET.lower(),
            headers.HANDOVER.lower(),
        )
    )
)


@dataclass(slots=True, kw_only=True, frozen=True)
class _HeaderNumber:
    """The number in a header, or the text that is none."""

    number: float | None = None
    invalid_text: str = ''

    @classmethod
    def of(cls, text: str | None) -> '_HeaderNumber':
        """Parse a decimal number; a date, a negative or an infinite number is none."""
        if text is None:
            return _NO_HEADER
        number = float(text) if _NUMBER_FORMAT.fullmatch(text) else math.inf
        if math.isfinite(number):
            return cls(number=number)
        return cls(invalid_text=text[:_MAX_LOGGED_CHARACTERS] or _EMPTY_TEXT)


_NO_HEADER = _HeaderNumber()


class TargetProtocol:
    """Builds requests to targets and interprets their responses.

    Implements :class:`balsamrail.delivery.target_wire.TargetCodec` and
    :class:`balsamrail.delivery.health_report.HealthCodec`.
    """

    def encode_request(
        self, request: EntryRequest, *, entry: TargetEntry, left_s: float
    ) -> HttpRequest:
        """Return the caller's request with the remaining time and the target's id in its headers.

        While customers are in force, the customer's name replaces the API key.
        """
        target_headers = _FORWARDED_HEADERS.of(request)
        target_headers[headers.TIMEOUT_MS] = str(max(1, int(left_s * _MS_IN_S)))
        target_headers[headers.EXPECTED_TARGET] = entry.target_id
        return HttpRequest(
            method=request.method, path=request.path, headers=target_headers, body=request.body
        )

    def matches_request(
        self, request: EntryRequest, fields: HTTPHeaders, *, is_first: bool
    ) -> bool:
        """Return whether the response belongs to the request, judged by the echoed request id.

        A refusal may come without an id, since a target can refuse before it has read the header.
        Only the first response on a connection is known to be no repetition of an earlier one.
        """
        echoed_id = fields.get(headers.REQUEST_ID)
        if echoed_id is None:
            return is_first and headers.SIGNATURE not in fields
        return echoed_id == request.request_id

    def decode_response(self, response: HttpResponse) -> TargetResponse:
        """Return a response with the information from its headers."""
        return TargetResponse(
            http=response,
            is_signed=headers.SIGNATURE in response.headers,
            is_not_run=headers.NOT_EXECUTED in response.headers or response.status == _MISDIRECTED,
            is_misdirected=response.status == _MISDIRECTED,
            load=_parse_load(response.headers.get(headers.TARGET_LOAD)),
        )

    def decode_notice(self, status: int, fields: HTTPHeaders, *, is_current: bool) -> TargetNotice:
        """Return what the status and headers of a response report about the target.

        A misdirected request is answered by another target, whose response is no evidence about
        this one. A target that was leaving still is, but an earlier Retry-After or limit is outdated.
        """
        if status == _MISDIRECTED:
            return TargetNotice()
        is_leaving = '1' in fields.get_list(headers.SERVER_LEAVING)
        if not is_current:
            return TargetNotice(is_leaving=is_leaving)
        is_refusing = status == HTTPStatus.SERVICE_UNAVAILABLE
        refusal = _HeaderNumber.of(fields.get(headers.RETRY_AFTER) if is_refusing else None)
        limit = _HeaderNumber.of(fields.get(headers.SERVER_LIMIT))
        return TargetNotice(
            is_leaving=is_leaving,
            refuses_for_s=refusal.number,
            invalid_retry_after=refusal.invalid_text,
            limit_per_s=limit.number,
            # A refusal may be sent before the request is read, so that only a run shows the end.
            has_no_limit=headers.SERVER_LIMIT not in fields and headers.SIGNATURE in fields,
            invalid_limit=limit.invalid_text,
        )

    def decode_health(self, response: HttpResponse, *, entry: TargetEntry) -> HealthReport:
        """Return what the response to a health check reports about the target ``entry``."""
        answering_id = response.headers.get(headers.TARGET_ID, entry.target_id)
        warmup_ms = response.headers.get(headers.WARMUP_LEFT_MS, '')
        is_from_target = answering_id == entry.target_id
        return HealthReport(
            is_usable=is_from_target
            and (response.status == HTTPStatus.OK or headers.NOT_EXECUTED in response.headers),
            cold_left_s=int(warmup_ms) / _MS_IN_S if warmup_ms.isdecimal() else None,
            notice=self.decode_notice(response.status, response.headers, is_current=True)
            if is_from_target
            else TargetNotice(),
        )


def _parse_load(text: str | None) -> ReportedLoad | None:
    fields = (text or '').split(',')
    if len(fields) < _MIN_LOAD_FIELDS:
        return None
    try:
        running, waiting, slots = (int(field) for field in fields[:_MIN_LOAD_FIELDS])
    except ValueError:
        return None
    return ReportedLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=_parse_slowdown(fields[_MIN_LOAD_FIELDS:]),
    )


def _parse_slowdown(fields: list[str]) -> float:
    """Return the fourth figure, in which 100 means as usual; 1 if it is missing or unreadable."""
    number = _HeaderNumber.of(fields[0].strip()).number if fields else None
    return number / _USUAL_SLOWDOWN if number else 1.0
