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
    :param limit_per_s: how many requests per second the target takes from all hosts together,
        ``None`` if it names no limit.
    :param has_no_limit: whether the response shows that an earlier limit has ended.
    :param invalid_limit: the value that was sent in place of a valid limit, otherwise empty.
    """

    is_leaving: bool = False
    refuses_for_s: float | None = None
    invalid_retry_after: str = ''
    limit_per_s: float | None = None
    has_no_limit: bool = False
    invalid_limit: str = ''
