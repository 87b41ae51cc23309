"""Fingerprints of requests."""

from collections.abc import Iterable
from hashlib import blake2b

from balsamrail.exchange.large_body import RequestBody, pieces_of

_DIGEST_BYTES = 16


def fingerprint_of(*, service: str, method: str, path: str, body: RequestBody) -> bytes:
    """Return the BLAKE2b digest of service, method and path with length prefixes, and body."""
    return digest_of((service, method, path), body=body)


def digest_of(texts: Iterable[str], *, body: RequestBody) -> bytes:
    """Return the BLAKE2b digest of texts with length prefixes, and a body.

    Digests of different numbers of texts differ::

        digest_of(('lepu', 'GET', '/read/1'), body=b'')
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for text in texts:
        part = text.encode()
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    for piece in pieces_of(body):
        digest.update(piece)
    return digest.digest()
