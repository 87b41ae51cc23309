"""The platform's HTTP protocol for targets."""

import math
import re
from http import HTTPStatus

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.health_report import HealthReport
from balsamrail.delivery.http_message import HttpAnswer, HttpRequest
from balsamrail.delivery.target_answer import TargetAnswer
from balsamrail.exchange.hop_headers import passed_on
from balsamrail.placement.reported_load import ReportedLoad
from balsamrail.placement.target_notice import TargetNotice
from balsamrail.platform import headers

_MS_IN_S = 1_000
_MISDIRECTED = 421
_LOAD_FIELD_COUNT = 3
_SECONDS_FORMAT = re.compile(r'\d+(\.\d*)?([eE][+-]?\d+)?', re.ASCII)
# Length to which an invalid header value is cut in the log.
_MAX_LOGGED_CHARACTERS = 40
_REPLACED_HEADERS = frozenset(
    ('content-length', headers.TIMEOUT_MS.lower(), headers.EXPECTED_TARGET.lower())
)


class TargetProtocol:
    """Builds requests to targets and interprets their answers.

    Implements :class:`balsamrail.delivery.target_wire.TargetWire` and
    :class:`balsamrail.delivery.health_report.HealthWire`.
    """

    def outgoing(self, request: EntryRequest, *, entry: TargetEntry, left_s: float) -> HttpRequest:
        """Return the caller's request with the remaining time and the target's id in its headers."""
        target_headers = passed_on(request.headers, without=_REPLACED_HEADERS)
        target_headers[headers.TIMEOUT_MS] = str(max(1, int(left_s * _MS_IN_S)))
        target_headers[headers.EXPECTED_TARGET] = entry.target_id
        return HttpRequest(
            method=request.method, path=request.path, headers=target_headers, body=request.body
        )

    def matches_request(self, request: EntryRequest, answer: HttpAnswer) -> bool:
        """Return whether the answer belongs to the request, judged by the echoed request id.

        A refusal may come without an id, since a target can refuse before it has read the header.
        """
        echoed_id = answer.headers.get(headers.REQUEST_ID)
        if echoed_id is None:
            return headers.SIGNATURE not in answer.headers
        return echoed_id == request.request_id

    def read(self, answer: HttpAnswer) -> TargetAnswer:
        """Return an answer with the information from its headers."""
        return TargetAnswer(
            http=answer,
            is_signed=headers.SIGNATURE in answer.headers,
            is_not_run=headers.NOT_EXECUTED in answer.headers or answer.status == _MISDIRECTED,
            is_misdirected=answer.status == _MISDIRECTED,
            load=_parse_load(answer.headers.get(headers.TARGET_LOAD)),
        )

    def read_notice(self, status: int, fields: HTTPHeaders) -> TargetNotice:
        """Return what the status and headers of an answer report about the target.

        A misdirected request is answered by another target, whose answer is no evidence about
        this one.
        """
        if status == _MISDIRECTED:
            return TargetNotice()
        is_leaving = '1' in fields.get_list(headers.SERVER_LEAVING)
        text = (
            fields.get(headers.RETRY_AFTER) if status == HTTPStatus.SERVICE_UNAVAILABLE else None
        )
        if text is None:
            return TargetNotice(is_leaving=is_leaving)
        refuses_for_s = _parse_seconds(text)
        return TargetNotice(
            is_leaving=is_leaving,
            refuses_for_s=refuses_for_s,
            invalid_retry_after=text[:_MAX_LOGGED_CHARACTERS] if refuses_for_s is None else '',
        )

    def read_health(self, answer: HttpAnswer, *, entry: TargetEntry) -> HealthReport:
        """Return what the answer to a health check reports about the target ``entry``."""
        answering_id = answer.headers.get(headers.TARGET_ID, entry.target_id)
        warmup_ms = answer.headers.get(headers.WARMUP_LEFT_MS, '')
        is_from_target = answering_id == entry.target_id
        return HealthReport(
            is_usable=is_from_target
            and (answer.status == HTTPStatus.OK or headers.NOT_EXECUTED in answer.headers),
            cold_left_s=int(warmup_ms) / _MS_IN_S if warmup_ms.isdecimal() else None,
            notice=self.read_notice(answer.status, answer.headers)
            if is_from_target
            else TargetNotice(),
        )


def _parse_load(text: str | None) -> ReportedLoad | None:
    fields = (text or '').split(',')
    if len(fields) != _LOAD_FIELD_COUNT:
        return None
    try:
        running, waiting, slots = (int(field) for field in fields)
    except ValueError:
        return None
    return ReportedLoad(running=running, waiting=waiting, slots=slots)


def _parse_seconds(text: str) -> float | None:
    """Parse a time in seconds; return ``None`` for a date, a negative or an infinite time."""
    seconds = float(text) if _SECONDS_FORMAT.fullmatch(text) else math.inf
    return seconds if math.isfinite(seconds) else None
