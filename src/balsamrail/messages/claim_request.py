"""Request to claim a key."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimRequest:
    """Asks the owner of a key space partition to claim a key for ``holder``.

    The key is one supplied by the caller. The claim expires at the wall time ``expiry_wall_s``.
    """

    request_id: int
    key: str
    holder: str
    expiry_wall_s: float
