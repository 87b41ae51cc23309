"""Division of the total of a resource among holders."""

from collections.abc import Sequence

from balsamrail.steering.rendezvous import rendezvous_order
from balsamrail.steering.resources import THOUSANDTHS_PER_SLOT

_FAILOVER_FRACTION = 0.3


def split_evenly(amount: int, *, resource: str, holders: Sequence[str]) -> dict[str, int]:
    """Return each holder's part of ``amount``; the parts add up to it.

    Slots are assigned in whole units, since a request needs a whole slot. Rendezvous hashing
    selects the holders that receive an extra unit, so that they differ between resources.
    """
    if not holders or amount <= 0:
        return {}
    unit = THOUSANDTHS_PER_SLOT if resource.startswith('slots/') else 1
    order = rendezvous_order(key=resource, names=list(holders))
    units, rest = divmod(amount, unit)
    units_each, extra_units = divmod(units, len(order))
    parts = {
        holder: (units_each + (1 if index < extra_units else 0)) * unit
        for index, holder in enumerate(order)
    }
    parts[order[extra_units % len(order)]] += rest
    return {holder: part for holder, part in parts.items() if part}


def split_total(
    amount: int,
    *,
    resource: str,
    local: Sequence[str],
    remote: Sequence[str],
    failover_fraction: float = _FAILOVER_FRACTION,
) -> dict[str, int]:
    """Return each holder's part of a total, with a reserve for failover.

    Hosts of other regions receive ``failover_fraction`` of the slots, so that failover works while
    the store is down. Links are assigned only to hosts of the region, since only these send over
    them.
    """
    reserve = int(amount * failover_fraction) if resource.startswith('slots/') else 0
    if not remote:
        reserve = 0
    elif not local:
        reserve = amount if resource.startswith('slots/') else 0
    parts = split_evenly(reserve, resource=resource, holders=remote)
    for holder, part in split_evenly(amount - reserve, resource=resource, holders=local).items():
        parts[holder] = parts.get(holder, 0) + part
    return parts
