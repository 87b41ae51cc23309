"""Rendezvous hashing of objects over targets."""

import heapq
import math
from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

_HASH_BITS = 64
_SCALE = float(1 << _HASH_BITS)
_MIX = 0x9E3779B97F4A7C15
_MASK = (1 << _HASH_BITS) - 1


@lru_cache(maxsize=16_384)
def hash_text(text: str) -> int:
    """Return 64 bits of ``text`` that are the same on every host."""
    return int.from_bytes(blake2b(text.encode(), digest_size=_HASH_BITS // 8).digest())


def mixed(first: int, second: int) -> int:
    """Return 64 bits that depend on every bit of two hashes."""
    value = (first ^ second) * _MIX & _MASK
    value = (value ^ value >> 32) * _MIX & _MASK
    return value ^ value >> 29


class Ranking:
    """Orders targets by an object's preference, the same on all hosts.

    An object keeps its target when others come and go, and a target is preferred by objects in
    proportion to its weight::

        ranking = Ranking(weight_by_id={'i-1': 6, 'i-2': 3})
        ranking.best('object 17', count=2)
    """

    __slots__ = ('_best_by_key', '_is_even', '_weights')

    _longest_cache = 4_096

    def __init__(self, *, weight_by_id: dict[str, float]) -> None:
        self._weights = [
            (target_id, hash_text(target_id), weight) for target_id, weight in weight_by_id.items()
        ]
        self._is_even = len(set(weight_by_id.values())) <= 1
        self._best_by_key: dict[str, Sequence[str]] = {}

    def best(self, key: str, *, count: int) -> Sequence[str]:
        """Return the ``count`` targets that ``key`` prefers, the first one first."""
        found = self._best_by_key.get(key)
        if found is None or len(found) < min(count, len(self._weights)):
            if len(self._best_by_key) >= self._longest_cache:
                self._best_by_key.clear()
            found = self._rank(hash_text(key), count)
            self._best_by_key[key] = found
        return found[:count]

    def size(self) -> int:
        """Return how many targets are ranked."""
        return len(self._weights)

    def _rank(self, key_hash: int, count: int) -> list[str]:
        scores = self._even_scores(key_hash) if self._is_even else self._scores(key_hash)
        return [target_id for _, target_id in heapq.nlargest(count, scores)]

    def _even_scores(self, key_hash: int) -> list[tuple[float, str]]:
        # With equal weights the order is that of the hashes, without a logarithm for each target.
        return [
            (mixed(key_hash, target_hash), target_id)
            for target_id, target_hash, _ in self._weights
        ]

    def _scores(self, key_hash: int) -> Iterable[tuple[float, str]]:
        for target_id, target_hash, weight in self._weights:
            position = (mixed(key_hash, target_hash) + 1) / _SCALE
            yield -weight / math.log(min(position, 1 - 1e-12)), target_id
