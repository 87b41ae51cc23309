"""The stored object ``shares/<region>``."""

from dataclasses import dataclass, field
from typing import Any

from apischema import ValidationError, deserialize, serialize

from balsamrail.errors import DocumentError


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareEpoch:
    """A share epoch of a region.

    ``base`` is the share of each listed holder. ``unsealed`` lists the holders that did not seal
    the preceding epoch and keep what they held. ``pool`` is the maximum that all holders,
    including the unsealed ones, can hold together. ``joined`` is the epoch in which a holder was
    added.
    """

    epoch: int
    sealing: bool
    totals: dict[str, int]
    base: dict[str, dict[str, int]]
    unsealed: list[str] = field(default_factory=list)
    pool: dict[str, int] = field(default_factory=dict)
    joined: dict[str, int] = field(default_factory=dict)

    def holders(self) -> set[str]:
        """Return all holders that may hold a share of the region."""
        return {*self.base, *self.unsealed}


def decode_epoch(value: Any) -> ShareEpoch:
    """Return the epoch that ``value`` encodes.

    :raises DocumentError: if the value is not a valid epoch.
    """
    try:
        return deserialize(ShareEpoch, value)
    except ValidationError as error:
        raise DocumentError(
            faults=[f'{fault["loc"]}: {fault["err"]}' for fault in error.errors],
        ) from error


def encode_epoch(epoch: ShareEpoch) -> Any:
    """Return the epoch as plain JSON data."""
    return serialize(ShareEpoch, epoch)
