"""How much work the objects of a bucket are."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class BucketLoad:
    """A bucket and where it is placed.

    :param rate: requests a second.
    :param arrived: requests since the rate was last worked out.
    :param stays_until: the time before which it is not moved for the sake of balance.
    """

    scope: str
    bucket: int
    target_id: str
    rate: float = 0
    arrived: int = 0
    stays_until: float = 0
