"""Shares the objects of a place out over places."""

from collections.abc import Mapping

# The use of all targets together that is planned for.
_PLANNED_USE = 1.0


def plan_places(slots_by_place: Mapping[str, int], *, own: str) -> dict[str, float]:
    """Return the part of a place's objects that each place should take.

    The places are regions, or the availability zones of one region. All are taken to ask for the
    same. A place keeps what its targets can carry at the planned use, and the rest goes to places
    that can carry more than they ask for, so that the targets of all places are used alike and few
    objects leave their place::

        plan_places({'attiki': 36, 'makedonia': 48, 'peloponnisos': 12}, own='peloponnisos')

    The parts change only with the targets, so traffic does not shift between places when callers
    ask for more or less.

    :param slots_by_place: the slots of the targets that may be used, 0 for a place without any.
    """
    total = sum(slots_by_place.values())
    if not total:
        return {}
    asked = total * _PLANNED_USE / len(slots_by_place)
    kept = min(1.0, slots_by_place.get(own, 0) / asked)
    spare_by_place = {
        place: slots - asked
        for place, slots in slots_by_place.items()
        if place != own and slots > asked
    }
    all_spare = sum(spare_by_place.values())
    part_by_place = {own: kept} if kept else {}
    if kept < 1 and all_spare:
        for place, amount in spare_by_place.items():
            part_by_place[place] = (1 - kept) * amount / all_spare
    return part_by_place
