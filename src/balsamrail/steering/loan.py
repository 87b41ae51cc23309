"""What a host lends to one that asks."""

import math
from collections.abc import Mapping

from balsamrail.steering.resources import THOUSANDTHS
from balsamrail.steering.share_ledger import ShareLedger


def loan(ledger: ShareLedger, asked_by_resource: Mapping[str, int]) -> dict[str, int]:
    """Return what to give of what is asked, with target slots for the slots of a service."""
    amounts = {
        resource: _whole(
            resource,
            asked=asked,
            free=ledger.lendable(resource),
            is_idle=ledger.lendable(resource) == ledger.held(resource),
        )
        for resource, asked in asked_by_resource.items()
    }
    for resource, slots in list(amounts.items()):
        amounts.update(_target_slots(ledger, resource, count=slots // THOUSANDTHS))
    return amounts


def _whole(resource: str, *, asked: int, free: int, is_idle: bool) -> int:
    """Return what to give of ``free``: half of it, in whole slots.

    A part of a slot runs no request, so parts would only be lost for both hosts. The last free
    slot is given only by an idle host and to one whose request was short: hosts that borrow in
    advance, which ask for less than a whole slot, would otherwise pass it back and forth.
    """
    if not resource.startswith('slots/'):
        return min(asked, free // 2)
    wanted = math.ceil(asked / THOUSANDTHS) * THOUSANDTHS
    half = free // 2 // THOUSANDTHS * THOUSANDTHS
    if half == 0 and is_idle and asked >= THOUSANDTHS and free >= THOUSANDTHS:
        half = THOUSANDTHS
    return min(wanted, half)


def _target_slots(ledger: ShareLedger, resource: str, *, count: int) -> dict[str, int]:
    """Return target slots that go with ``count`` slots of a service, free ones first."""
    kind, _, place = resource.partition('/')
    if kind != 'slots':
        return {}
    service = place.partition('/')[0]
    prefix = f'target/{service}/'
    given: dict[str, int] = {}
    for name in ledger.all_held():
        most = min(count, ledger.spare(name)) if name.startswith(prefix) else 0
        if most > 0:
            given[name] = most
            count -= most
    return given
