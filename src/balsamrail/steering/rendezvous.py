"""Rendezvous hashing: every host ranks the same names alike with no agreement."""

from hashlib import blake2b

_DIGEST_BYTES = 8


def rendezvous_score(*, key: str, name: str) -> int:
    """Return the score of ``name`` for ``key``; the highest score wins."""
    text = f'{key}\0{name}'.encode()
    return int.from_bytes(blake2b(text, digest_size=_DIGEST_BYTES).digest(), 'big')


def rendezvous_order(*, key: str, names: list[str]) -> list[str]:
    """Return ``names`` with the highest score first."""
    return sorted(names, key=lambda name: rendezvous_score(key=key, name=name), reverse=True)
