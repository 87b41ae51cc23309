"""Which callers are on trial."""

from hashlib import blake2b

_DIGEST_BYTES = 8
_DIGEST_RANGE = 2**64


def is_on_trial(*, caller: str, revision: int, share: float) -> bool:
    """Return whether a caller gets the candidate; every host has the same result.

    The revision is part of the hash, so that it is not always the same callers.
    """
    digest = blake2b(f'{caller} {revision}'.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest) < share * _DIGEST_RANGE
