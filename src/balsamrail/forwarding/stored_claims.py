"""The stored object ``claims/<partition>``."""

from dataclasses import dataclass, field
from typing import Any

from balsamrail.errors import StoreError

# No key of a caller is empty.
_ERA_KEY = ''
# An object without an era is taken as one of the store's first era, which may be 0 or 1.
_DEFAULT_ERA = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredClaims:
    """The claims of a partition as ``(holder, expiry in wall seconds)`` by key.

    ``era`` is the era of the store in which they were written. ``lost_at_wall_s`` is when a host
    found a copy that was written in an earlier era, which may lack acknowledged claims; 0 if none
    did.
    """

    era: int = _DEFAULT_ERA
    lost_at_wall_s: float = 0
    claim_by_key: dict[str, tuple[str, float]] = field(default_factory=dict)


def decode_claims(value: Any) -> StoredClaims:
    """Return the claims that ``value`` encodes.

    :raises StoreError: if the value is malformed.
    """
    if not isinstance(value, dict):
        raise StoreError('the claims object is not a map')
    try:
        era, lost_at_wall_s = value.get(_ERA_KEY, (_DEFAULT_ERA, 0))
        return StoredClaims(
            era=int(era),
            lost_at_wall_s=float(lost_at_wall_s),
            claim_by_key={
                key: (str(holder), float(expiry))
                for key, (holder, expiry) in value.items()
                if key != _ERA_KEY
            },
        )
    except (TypeError, ValueError) as error:
        raise StoreError(f'malformed claim: {error}') from error


def encode_claims(claims: StoredClaims) -> dict[str, list[Any]]:
    """Return the claims as plain JSON data."""
    value: dict[str, list[Any]] = {key: list(entry) for key, entry in claims.claim_by_key.items()}
    return {_ERA_KEY: [claims.era, claims.lost_at_wall_s], **value}
