"""What the forwarder needs for callers' own keys."""

from typing import Protocol


class Claims(Protocol):
    """Says which incarnation executes a caller's own key."""

    async def claim(self, key: str, *, expiry_wall_s: float) -> str:
        """Claim the key and return its holder, ``host@incarnation``.

        :raises balsamrail.errors.KeyClaimError: if the store did not answer.
        """
