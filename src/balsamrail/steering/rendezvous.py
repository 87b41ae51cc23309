"""Rendezvous hashing: all hosts rank the same names identically without coordination."""

from hashlib import blake2b

_DIGEST_BYTES = 8


def rendezvous_score(*, key: str, name: str) -> int:
    """Return the score of ``name`` for ``key``; the highest score wins."""
    text = f'{key}\0{name}'.encode()
    return int.from_bytes(blake2b(text, digest_size=_DIGEST_BYTES).digest(), 'big')


def rendezvous_order(*, key: str, names: list[str]) -> list[str]:
    """Return ``names`` in descending order of score."""
    return sorted(names, key=lambda name: rendezvous_score(key=key, name=name), reverse=True)
