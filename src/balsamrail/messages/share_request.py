"""Request for share."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareRequest:
    """Asks the receiver to lend share of a region; ``borrower`` is ``host@incarnation``."""

    region: str
    epoch: int
    borrower: str
    amount_by_resource: dict[str, int]
