"""The share given message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareGiven:
    """All that ``lender`` has given to ``borrower`` in this epoch. Totals only grow, so the
    message may be lost or doubled."""

    region: str
    epoch: int
    lender: str
    borrower: str
    total_by_resource: dict[str, int]
