"""Fingerprints of requests."""

from hashlib import blake2b

_DIGEST_BYTES = 16


def fingerprint_of(*, service: str, method: str, path: str, body: bytes) -> bytes:
    """Return the BLAKE2b digest of service, method and path with length prefixes, and body."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for text in (service, method, path):
        part = text.encode()
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(body)
    return digest.digest()
