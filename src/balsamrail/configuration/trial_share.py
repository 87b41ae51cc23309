"""Selection of the callers on trial."""

from hashlib import blake2b

_DIGEST_BYTES = 8
_DIGEST_RANGE = 2**64


def is_on_trial(*, caller: str, revision: int, share: float) -> bool:
    """Return whether a caller is routed by the candidate. The result is the same on every host.

    The hash includes the revision, so that each trial selects different callers.
    """
    digest = blake2b(f'{caller} {revision}'.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest) < share * _DIGEST_RANGE
