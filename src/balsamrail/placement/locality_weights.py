"""Distribution of the objects of a locality over localities."""

from collections.abc import Mapping

# The utilization of all targets together that the weights assume.
_PLANNED_UTILIZATION = 1.0


def locality_weights(slots_by_locality: Mapping[str, int], *, own: str) -> dict[str, float]:
    """Return the fraction of the objects of a locality that each locality should handle.

    Localities are regions, or the availability zones of one region. All are assumed to have the
    same demand. A locality keeps what its targets can carry at the planned utilization, and the
    rest goes to localities with spare capacity, so that all targets are utilized evenly and few
    objects leave their locality::

        locality_weights({'attiki': 36, 'makedonia': 48, 'peloponnisos': 12}, own='peloponnisos')

    The weights depend only on the targets, so changes of demand do not shift traffic between
    localities.

    :param slots_by_locality: the slots of the usable targets, 0 for a locality without any.
    :param own: the locality of the objects.
    """
    total = sum(slots_by_locality.values())
    if not total:
        return {}
    demand = total * _PLANNED_UTILIZATION / len(slots_by_locality)
    local_weight = min(1.0, slots_by_locality.get(own, 0) / demand)
    spare_by_locality = {
        locality: slots - demand
        for locality, slots in slots_by_locality.items()
        if locality != own and slots > demand
    }
    total_spare = sum(spare_by_locality.values())
    weight_by_locality = {own: local_weight} if local_weight else {}
    if local_weight < 1 and total_spare:
        for locality, amount in spare_by_locality.items():
            weight_by_locality[locality] = (1 - local_weight) * amount / total_spare
    return weight_by_locality
