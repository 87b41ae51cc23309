"""The claim request message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimRequest:
    """Asks the owner of a part of the key space to claim a caller's own key for ``holder`` until
    ``expiry_wall_s``."""

    request_id: int
    key: str
    holder: str
    expiry_wall_s: float
