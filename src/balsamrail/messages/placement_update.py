"""The placement update message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementUpdate:
    """Tells the hosts of a region the targets of some buckets, of all of them if ``is_full``.

    ``version`` grows by one with each update of a steward. A target may stand in the list
    several times; ``target_numbers`` are positions in ``target_ids``.
    """

    version: int
    scope: str
    is_full: bool
    buckets: list[int]
    target_ids: list[str]
    target_numbers: list[int]
