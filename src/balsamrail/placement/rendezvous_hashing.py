"""Weighted rendezvous hashing of objects over targets."""

import heapq
import math
from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

_HASH_BITS = 64
_HASH_RANGE = float(1 << _HASH_BITS)
_MIX_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << _HASH_BITS) - 1


@lru_cache(maxsize=16_384)
def hash_text(text: str) -> int:
    """Return a 64-bit hash of ``text`` that is the same on every host."""
    return int.from_bytes(blake2b(text.encode(), digest_size=_HASH_BITS // 8).digest())


def mix_hashes(first: int, second: int) -> int:
    """Return a 64-bit hash that depends on every bit of two hashes."""
    value = (first ^ second) * _MIX_MULTIPLIER & _HASH_MASK
    value = (value ^ value >> 32) * _MIX_MULTIPLIER & _HASH_MASK
    return value ^ value >> 29


class RendezvousRanking:
    """Ranks targets for an object, identically on all hosts.

    An object keeps its target when other targets are added or removed, and targets are preferred
    in proportion to their weights::

        ranking = RendezvousRanking(weight_by_id={'i-1': 6, 'i-2': 3})
        ranking.best('object 17', count=2)
    """

    __slots__ = ('_best_by_key', '_has_equal_weights', '_weights')

    _max_cached_keys = 4_096

    def __init__(self, *, weight_by_id: dict[str, float]) -> None:
        self._weights = [
            (target_id, hash_text(target_id), weight) for target_id, weight in weight_by_id.items()
        ]
        self._has_equal_weights = len(set(weight_by_id.values())) <= 1
        self._best_by_key: dict[str, Sequence[str]] = {}

    def best(self, key: str, *, count: int) -> Sequence[str]:
        """Return the ``count`` highest-ranked targets for ``key``, best first."""
        found = self._best_by_key.get(key)
        if found is None or len(found) < min(count, len(self._weights)):
            if len(self._best_by_key) >= self._max_cached_keys:
                self._best_by_key.clear()
            found = self._rank(hash_text(key), count)
            self._best_by_key[key] = found
        return found[:count]

    def size(self) -> int:
        """Return the number of ranked targets."""
        return len(self._weights)

    def _rank(self, key_hash: int, count: int) -> list[str]:
        scores = (
            self._equal_weight_scores(key_hash)
            if self._has_equal_weights
            else self._scores(key_hash)
        )
        return [target_id for _, target_id in heapq.nlargest(count, scores)]

    def _equal_weight_scores(self, key_hash: int) -> list[tuple[float, str]]:
        # With equal weights, ranking by the hashes alone gives the same order without logarithms.
        return [
            (mix_hashes(key_hash, target_hash), target_id)
            for target_id, target_hash, _ in self._weights
        ]

    def _scores(self, key_hash: int) -> Iterable[tuple[float, str]]:
        for target_id, target_hash, weight in self._weights:
            position = (mix_hashes(key_hash, target_hash) + 1) / _HASH_RANGE
            yield -weight / math.log(min(position, 1 - 1e-12)), target_id
