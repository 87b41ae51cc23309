"""Shares a region's objects out over regions."""

from collections.abc import Mapping

# The use of all targets together that is planned for.
_PLANNED_USE = 1.0


def plan_regions(slots_by_region: Mapping[str, int], *, own: str) -> dict[str, float]:
    """Return the part of a region's objects that each region should take.

    All regions are taken to ask for the same. A region keeps what its targets can carry at the
    planned use, and the rest goes to regions that can carry more than they ask for, so that the
    targets of all regions are used alike and few objects leave their region::

        plan_regions({'attiki': 36, 'makedonia': 48, 'peloponnisos': 12}, own='peloponnisos')

    The parts change only with the targets, so traffic does not shift between regions when callers
    ask for more or less.

    :param slots_by_region: the slots of the targets that may be used, 0 for a region without any.
    """
    total = sum(slots_by_region.values())
    if not total:
        return {}
    asked = total * _PLANNED_USE / len(slots_by_region)
    kept = min(1.0, slots_by_region.get(own, 0) / asked)
    spare_by_region = {
        region: slots - asked
        for region, slots in slots_by_region.items()
        if region != own and slots > asked
    }
    all_spare = sum(spare_by_region.values())
    part_by_region = {own: kept} if kept else {}
    if kept < 1 and all_spare:
        for region, amount in spare_by_region.items():
            part_by_region[region] = (1 - kept) * amount / all_spare
    return part_by_region
