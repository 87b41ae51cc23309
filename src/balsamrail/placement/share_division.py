"""Division of a target's limit between the hosts near it and the others."""

import math
from dataclasses import dataclass

# Most requests at a target come from hosts of its region.
_NEAR_WEIGHT = 4
# At most this fraction of the burst goes to hosts far from the target, if others are near it.
_FAR_FRACTION = 0.25


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareDivision:
    """How many hosts of both groups get a share.

    :param near: the hosts near the target.
    :param far: all other hosts.
    :param near_count: how many hosts of the first group get a share.
    :param far_count: how many of the second group do.
    :param spare: the requests of the burst that are left when each of these hosts may send one.
    """

    near: list[str]
    far: list[str]
    near_count: int
    far_count: int
    spare: int

    @classmethod
    def of(cls, groups: tuple[list[str], list[str]], *, burst: int) -> 'ShareDivision':
        """Return the division among the near and the far hosts.

        :param burst: how many requests all hosts together may send at once.
        """
        near, far = groups
        far_count = min(len(far), math.floor(burst * _FAR_FRACTION) if near else burst)
        near_count = min(len(near), burst - far_count)
        return cls(
            near=near,
            far=far,
            near_count=near_count,
            far_count=far_count,
            spare=burst - near_count - far_count,
        )

    def group(self, *, is_near: bool) -> tuple[list[str], int]:
        """Return the hosts of a group, and how many of them get a share."""
        return (self.near, self.near_count) if is_near else (self.far, self.far_count)

    def weight(self, *, is_near: bool) -> float:
        """Return the fraction of the rate for each host of a group that gets a share."""
        total = self.near_count * _NEAR_WEIGHT + self.far_count
        return (_NEAR_WEIGHT if is_near else 1) / total

    def extra_requests(self, *, is_near: bool) -> int:
        """Return how many requests more than one such a host may send at once."""
        if is_near:
            return self.spare // self.near_count
        return 0 if self.near else self.spare // self.far_count
