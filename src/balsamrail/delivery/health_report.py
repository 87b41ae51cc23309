"""Results of health checks of targets."""

from dataclasses import dataclass
from typing import Protocol

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.placement.target_notice import TargetNotice


@dataclass(slots=True, kw_only=True, frozen=True)
class HealthReport:
    """The parsed response to a health check.

    :param is_usable: whether the response came from the expected target and reports it as healthy.
    :param cold_left_s: remaining warm-up time of the target in seconds, ``None`` if not stated.
    :param notice: other state that the target announced in the headers.
    """

    is_usable: bool
    cold_left_s: float | None
    notice: TargetNotice


class HealthCodec(Protocol):
    """Decodes responses to health checks."""

    def decode_health(self, response: HttpResponse, *, entry: TargetEntry) -> HealthReport:
        """Return the health of the target ``entry`` according to the response."""
