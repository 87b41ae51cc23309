"""Tells requests apart."""

from hashlib import blake2b

from balsamrail.forwarding.caller_request import CallerRequest

_DIGEST_BYTES = 16


def fingerprint_of(request: CallerRequest) -> bytes:
    """Return blake2b over service, method, path and body, each with its length before it."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for text in (request.service, request.method, request.path):
        part = text.encode()
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()
