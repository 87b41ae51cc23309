"""Interface of the encoding of requests to targets and of their responses."""

from typing import Protocol

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpRequest, HttpResponse
from balsamrail.delivery.target_response import TargetResponse
from balsamrail.placement.target_notice import TargetNotice


class TargetCodec(Protocol):
    """The platform's HTTP conventions for targets."""

    def encode_request(
        self, request: EntryRequest, *, entry: TargetEntry, left_s: float
    ) -> HttpRequest:
        """Return the request to send to a target.

        :param left_s: time that the target may take, in seconds.
        """

    def matches_request(
        self, request: EntryRequest, fields: HTTPHeaders, *, is_first: bool
    ) -> bool:
        """Return whether a response belongs to a request.

        :param fields: the headers of the response.
        :param is_first: whether it is the first response on its connection.
        """

    def decode_response(self, response: HttpResponse) -> TargetResponse:
        """Return a response with its parsed headers."""

    def decode_notice(self, status: int, fields: HTTPHeaders, *, is_current: bool) -> TargetNotice:
        """Return the state that the addressed target announced in the status and headers.

        :param is_current: whether the response belongs to the request that was sent last.
        """
