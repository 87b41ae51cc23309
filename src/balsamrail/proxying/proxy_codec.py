"""Interface for the wire format of requests between hosts."""

from typing import Protocol

from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpRequest, HttpResponse
from balsamrail.proxying.handover import Handover
from balsamrail.proxying.proxy_reply import ProxyReply


class ProxyCodec(Protocol):
    """Builds requests to other hosts and interprets their responses."""

    def encode_request(
        self, request: EntryRequest, *, handover: Handover, left_s: float
    ) -> HttpRequest:
        """Return a caller's request as it is sent to another host.

        :param left_s: how long the other host has to respond, in seconds.
        """

    def decode_reply(self, request: EntryRequest, response: HttpResponse) -> ProxyReply:
        """Return what another host responded."""
