"""The share epoch answer message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareEpochAnswer:
    """The highest share epochs that the sender has heard of. ``is_confirmed`` is false while the
    sender itself waits for confirmation of its epochs."""

    mark: int
    is_confirmed: bool
    epoch_by_region: dict[str, int]
