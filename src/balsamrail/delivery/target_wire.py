"""Interface of the encoding of requests to targets and of their responses."""

from typing import Protocol

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpAnswer, HttpRequest
from balsamrail.delivery.target_answer import TargetAnswer
from balsamrail.placement.target_notice import TargetNotice


class TargetWire(Protocol):
    """The platform's HTTP conventions for targets."""

    def outgoing(self, request: EntryRequest, *, entry: TargetEntry, left_s: float) -> HttpRequest:
        """Return the request to send to a target.

        :param left_s: time that the target may take, in seconds.
        """

    def matches_request(self, request: EntryRequest, answer: HttpAnswer) -> bool:
        """Return whether a response belongs to a request."""

    def read(self, answer: HttpAnswer) -> TargetAnswer:
        """Return a response with its parsed headers."""

    def read_notice(self, status: int, fields: HTTPHeaders) -> TargetNotice:
        """Return the state that the addressed target announced in the status and headers."""
