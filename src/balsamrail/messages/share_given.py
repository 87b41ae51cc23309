"""Totals of lent share."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareGiven:
    """Totals of the share that ``lender`` has transferred to ``borrower`` in an epoch.

    Totals are monotonic, so the message may be lost or duplicated.
    """

    region: str
    epoch: int
    lender: str
    borrower: str
    total_by_resource: dict[str, int]
