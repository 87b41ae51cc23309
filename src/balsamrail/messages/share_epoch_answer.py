"""Response with known share epochs."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareEpochAnswer:
    """The highest share epochs known to the sender.

    ``is_confirmed`` is false while the sender itself waits for confirmation of its epochs.
    """

    mark: int
    is_confirmed: bool
    epoch_by_region: dict[str, int]
