"""The claim answer message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimAnswer:
    """The holder that the key is claimed for; empty if the store did not answer."""

    request_id: int
    key: str
    holder: str
