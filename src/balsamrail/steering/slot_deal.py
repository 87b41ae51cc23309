"""Which slots of which target a holder uses first."""

from collections.abc import Mapping, Sequence

from balsamrail.configuration import Target
from balsamrail.steering.resources import THOUSANDTHS


def deal_slots(
    targets: Sequence[Target], *, share_by_holder: Mapping[str, int], holder: str
) -> dict[str, int]:
    """Return how many slots of each target are dealt to ``holder``.

    Every host works out the same deal from a share epoch, so hosts that stay within it never
    meet at a full target, however old their reports are. The deal goes around the targets, so
    that the slots of a holder lie on different ones.

    :param share_by_holder: shares of the epoch in thousandths of a slot.
    """
    first = 0
    for name in sorted(share_by_holder):
        count = share_by_holder[name] // THOUSANDTHS
        if name == holder:
            break
        first += count
    else:
        return {}
    most = max((target.slots for target in targets), default=0)
    slots = [target.address for layer in range(most) for target in targets if target.slots > layer]
    dealt: dict[str, int] = {}
    for address in slots[first : first + count]:
        dealt[address] = dealt.get(address, 0) + 1
    return dealt
