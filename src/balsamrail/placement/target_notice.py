"""What the headers of a response announce about the target itself."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetNotice:
    """Applies to the incarnation that responded, even if the response itself is discarded.

    :param is_leaving: whether the target is shutting down and accepts no new requests.
    :param refuses_for_s: for how many seconds the target refuses requests from this host, ``None``
        if it announces no refusal.
    :param invalid_retry_after: the value that was sent in place of a valid duration, otherwise
        empty.
    """

    is_leaving: bool = False
    refuses_for_s: float | None = None
    invalid_retry_after: str = ''
