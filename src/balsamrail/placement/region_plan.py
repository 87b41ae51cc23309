"""Shares a region's objects out over regions while their load is not known."""

from collections.abc import Iterable

from balsamrail.placement.target_room import TargetRoom

# The use of all targets together that is planned for.
_PLANNED_USE = 1.0


def plan_regions(
    rooms: Iterable[TargetRoom], *, regions: Iterable[str], own: str
) -> dict[str, float]:
    """Return the part of a region's objects that each region should take.

    All regions are taken to ask for the same. A region keeps what its targets can carry at the
    planned use, and the rest goes to regions that can carry more than they ask for, so that each
    region is used alike and few objects leave theirs::

        plan_regions(rooms, regions=('attiki', 'makedonia'), own='attiki')

    :param rooms: the targets of a service that may be used.
    :param regions: all regions with callers.
    """
    slots_by_region: dict[str, int] = dict.fromkeys(regions, 0)
    for room in rooms:
        slots_by_region[room.region] = slots_by_region.get(room.region, 0) + room.slots
    total = sum(slots_by_region.values())
    if not total:
        return {}
    asked = total * _PLANNED_USE / len(slots_by_region)
    kept = min(1.0, slots_by_region.get(own, 0) / asked)
    spare = {
        region: max(0.0, slots - asked)
        for region, slots in slots_by_region.items()
        if region != own
    }
    all_spare = sum(spare.values())
    parts = {own: kept} if kept else {}
    if kept < 1 and all_spare:
        for region, amount in spare.items():
            if amount:
                parts[region] = (1 - kept) * amount / all_spare
    return parts
