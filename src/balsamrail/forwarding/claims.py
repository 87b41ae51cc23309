"""Interface for claiming caller-generated keys."""

from typing import Protocol


class Claims(Protocol):
    """Determines which incarnation executes a request with a caller-generated key."""

    async def claim(self, key: str, *, expiry_wall_s: float) -> str:
        """Claim the key and return its holder, ``host@incarnation``.

        :raises balsamrail.errors.KeyClaimError: if the claim cannot be written to the store.
        """
