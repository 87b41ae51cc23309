"""Amounts that a host lends in response to a share request."""

import math
from collections.abc import Mapping

from balsamrail.steering.resources import THOUSANDTHS_PER_SLOT
from balsamrail.steering.share_ledger import ShareLedger


def loan_amounts(ledger: ShareLedger, requested_by_resource: Mapping[str, int]) -> dict[str, int]:
    """Return the amounts to lend, with target slots that match the lent service slots."""
    amounts = {
        resource: _loan_amount(
            resource,
            requested_amount=requested_amount,
            free=ledger.lendable(resource),
            is_idle=ledger.lendable(resource) == ledger.held(resource),
        )
        for resource, requested_amount in requested_by_resource.items()
    }
    for resource, slots in list(amounts.items()):
        amounts.update(_loan_target_slots(ledger, resource, count=slots // THOUSANDTHS_PER_SLOT))
    return amounts


def _loan_amount(resource: str, *, requested_amount: int, free: int, is_idle: bool) -> int:
    """Return the amount to lend of ``free``: at most half of it, slots in whole units.

    A fraction of a slot can run no request, so lending it would waste it for both hosts. The last
    free slot is lent only by an idle host and only for a request that lacks share. Hosts that
    borrow in advance, which ask for less than a whole slot, would otherwise pass it back and
    forth.
    """
    if not resource.startswith('slots/'):
        return min(requested_amount, free // 2)
    requested = math.ceil(requested_amount / THOUSANDTHS_PER_SLOT) * THOUSANDTHS_PER_SLOT
    half = free // 2 // THOUSANDTHS_PER_SLOT * THOUSANDTHS_PER_SLOT
    if (
        half == 0
        and is_idle
        and requested_amount >= THOUSANDTHS_PER_SLOT
        and free >= THOUSANDTHS_PER_SLOT
    ):
        half = THOUSANDTHS_PER_SLOT
    return min(requested, half)


def _loan_target_slots(ledger: ShareLedger, resource: str, *, count: int) -> dict[str, int]:
    """Return up to ``count`` free target slots of the service of ``resource``."""
    kind, _, rest = resource.partition('/')
    if kind != 'slots':
        return {}
    service = rest.partition('/')[0]
    prefix = f'target/{service}/'
    granted: dict[str, int] = {}
    for name in ledger.all_held():
        limit = min(count, ledger.spare(name)) if name.startswith(prefix) else 0
        if limit > 0:
            granted[name] = limit
            count -= limit
    return granted
