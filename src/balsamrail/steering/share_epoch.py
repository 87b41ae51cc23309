"""The object ``shares/<region>`` of the store."""

from dataclasses import dataclass, field
from typing import Any

from apischema import ValidationError, deserialize, serialize

from balsamrail.errors import DocumentError


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareEpoch:
    """A share epoch of a region.

    ``base`` gives each listed holder its share. ``unsealed`` names the holders that did not seal
    the epoch before and keep what they held. ``pool`` is the most that all holders together,
    those included, can hold.
    """

    epoch: int
    sealing: bool
    totals: dict[str, int]
    base: dict[str, dict[str, int]]
    unsealed: list[str] = field(default_factory=list)
    pool: dict[str, int] = field(default_factory=dict)
    joined: dict[str, int] = field(default_factory=dict)

    def holders(self) -> set[str]:
        """Return all that may hold a part of the region."""
        return {*self.base, *self.unsealed}


def decode_epoch(value: Any) -> ShareEpoch:
    """Return the epoch in ``value``.

    :raises DocumentError: if the value has another form.
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
