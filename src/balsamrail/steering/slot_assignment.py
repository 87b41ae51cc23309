"""Assignment of target slots to holders."""

from collections.abc import Mapping, Sequence

from balsamrail.configuration import Target
from balsamrail.steering.resources import THOUSANDTHS_PER_SLOT


def assign_slots(
    targets: Sequence[Target], *, share_by_holder: Mapping[str, int], holder: str
) -> dict[str, int]:
    """Return the number of slots of each target that are assigned to ``holder``.

    All hosts compute the same assignment from a share epoch. Hosts that stay within it never
    overload a target, regardless of the age of their load reports. Slots are assigned round-robin
    over the targets, so that the slots of a holder are spread over different targets.

    :param share_by_holder: the shares of the epoch in thousandths of a slot.
    """
    first = 0
    for name in sorted(share_by_holder):
        count = share_by_holder[name] // THOUSANDTHS_PER_SLOT
        if name == holder:
            break
        first += count
    else:
        return {}
    max_slots = max((target.slots for target in targets), default=0)
    slots = [
        target.address for layer in range(max_slots) for target in targets if target.slots > layer
    ]
    assigned: dict[str, int] = {}
    for address in slots[first : first + count]:
        assigned[address] = assigned.get(address, 0) + 1
    return assigned
