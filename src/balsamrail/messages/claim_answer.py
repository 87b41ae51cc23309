"""Response to a claim request."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimAnswer:
    """Names the holder of the claim; ``holder`` is empty if the store did not respond."""

    request_id: int
    key: str
    holder: str
