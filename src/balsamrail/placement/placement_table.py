"""Where the objects of this region are placed."""

from typing import Any

_MOST_BUCKETS = 65_536


class PlacementTable:
    """The target of each bucket, as the region's steward assigned it.

    A bucket that the steward has not placed yet has no target here.
    """

    __slots__ = ('_target_by_bucket_by_scope',)

    def __init__(self) -> None:
        self._target_by_bucket_by_scope: dict[str, dict[int, str]] = {}

    def target_of(self, scope: str, bucket: int) -> str | None:
        """Return the id of the target that a bucket is assigned to."""
        return self._target_by_bucket_by_scope.get(scope, {}).get(bucket)

    def assign(self, scope: str, bucket: int, target_id: str) -> None:
        """Take over one assignment."""
        targets = self._target_by_bucket_by_scope.setdefault(scope, {})
        if len(targets) < _MOST_BUCKETS:
            targets[bucket] = target_id

    def replace(self, scope: str, target_by_bucket: dict[int, str]) -> None:
        """Take over all assignments of a scope."""
        self._target_by_bucket_by_scope[scope] = dict(target_by_bucket)

    def scopes(self) -> dict[str, dict[int, str]]:
        """Return the assignments by scope and bucket."""
        return self._target_by_bucket_by_scope

    def dump(self) -> dict[str, Any]:
        """Return how many buckets each target has, by scope."""
        counts: dict[str, dict[str, int]] = {}
        for scope, targets in self._target_by_bucket_by_scope.items():
            by_target = counts.setdefault(scope, {})
            for target_id in targets.values():
                by_target[target_id] = by_target.get(target_id, 0) + 1
        return counts
