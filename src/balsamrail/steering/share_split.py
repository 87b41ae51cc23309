"""Division of a resource's total among holders."""

from collections.abc import Sequence

from balsamrail.steering.rendezvous import rendezvous_order
from balsamrail.steering.resources import THOUSANDTHS

_FAILOVER_FRACTION = 0.3


def split_evenly(amount: int, *, resource: str, holders: Sequence[str]) -> dict[str, int]:
    """Return each holder's part of ``amount``; the parts sum up to it.

    Slots are handed out whole, since a request needs a whole one. The holders that get one more
    are chosen by rendezvous hashing, so that they differ between resources.
    """
    if not holders or amount <= 0:
        return {}
    unit = THOUSANDTHS if resource.startswith('slots/') else 1
    order = rendezvous_order(key=resource, names=list(holders))
    units, odd = divmod(amount, unit)
    each, more = divmod(units, len(order))
    parts = {
        holder: (each + (1 if index < more else 0)) * unit for index, holder in enumerate(order)
    }
    parts[order[more % len(order)]] += odd
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

    Hosts of other regions get ``failover_fraction`` of the slots, so that they can take over
    with the store down. Only hosts of the region itself send over its links.
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
