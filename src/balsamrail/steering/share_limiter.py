"""Limit on requests by the held shares."""

from balsamrail.configuration import Route
from balsamrail.environment import Environment
from balsamrail.steering.attempt import Attempt
from balsamrail.steering.link_token_bucket import LinkTokenBucket
from balsamrail.steering.resources import (
    THOUSANDTHS_PER_SLOT,
    link_resource,
    slots_resource,
    target_resource,
)
from balsamrail.steering.share_ledger import ShareLedger

_FRACTION_PER_PRIORITY = 0.1
_DEFAULT_REQUEST_KBIT = 64
# Share is borrowed before it runs out, since a request without share is shed.
_LOW_WATER_FRACTION = 0.5
# A request for less than a whole slot tells the lender that no caller request lacks share. A busy
# host that borrowed the last slots of idle hosts in advance would cause their first requests to be
# shed.
_MAX_ADVANCE_THOUSANDTHS = THOUSANDTHS_PER_SLOT - 1


class ShareLimiter:
    """Checks a request against the held shares, the limit of its priority and its link.

    :param enabled: whether shares limit admission; tests disable it to show that the check is
        effective.
    """

    __slots__ = ('_bucket_by_link', '_environment', 'enabled', 'ledger_by_region')

    def __init__(self, *, environment: Environment, enabled: bool = True) -> None:
        self._environment = environment
        self.enabled = enabled
        self.ledger_by_region: dict[str, ShareLedger] = {}
        self._bucket_by_link: dict[str, LinkTokenBucket] = {}

    def shortage(self, attempt: Attempt, *, region: str) -> dict[str, dict[str, int]]:
        """Return what is missing for a request by region of the ledger, empty if it is allowed."""
        if not self.enabled:
            return {}
        cost = attempt.plan.cost(service=attempt.service, region=region)
        priority = attempt.plan.declaration.services[attempt.service].priority
        ledger = self.ledger_by_region.get(region)
        if ledger is None:
            return {region: dict(cost)}
        missing: dict[str, dict[str, int]] = {}
        slots = ledger.shortage(cost, limit=priority_limit(priority))
        if slots:
            missing[region] = slots
        link = self._link(attempt, region=region)
        if link:
            kbit = self._link_shortage(link, attempt=attempt)
            if kbit:
                missing[self._environment.settings.region] = {link: kbit}
        return missing

    def preferred(self, addresses: list[str], *, service: str, region: str) -> list[str]:
        """Return the targets at which a slot assigned to this host is free."""
        ledger = self.ledger_by_region.get(region)
        if ledger is None:
            return []
        return [
            address
            for address in addresses
            if ledger.spare(target_resource(service=service, address=address)) > 0
        ]

    def acquire(self, attempt: Attempt, *, region: str, address: str) -> dict[str, int]:
        """Acquire the cost of a request at a target and return it."""
        slots = attempt.plan.cost(service=attempt.service, region=region)
        cost = {**slots, target_resource(service=attempt.service, address=address): 1}
        ledger = self.ledger_by_region.get(region)
        if ledger is not None:
            ledger.acquire(cost)
        bucket = self._bucket_by_link.get(self._link(attempt, region=region))
        if bucket is not None:
            bucket.acquire(_kbit(attempt.route))
        return cost

    def release(self, cost: dict[str, int], *, region: str) -> None:
        """Release the slots of a request; tokens of a link are not returned."""
        ledger = self.ledger_by_region.get(region)
        if ledger is not None:
            ledger.release(cost)

    def replenishment(self, cost: dict[str, int], *, region: str) -> dict[str, dict[str, int]]:
        """Return what to borrow in advance if the spare share is below the low-water mark."""
        ledger = self.ledger_by_region.get(region)
        if ledger is None:
            return {}
        low = {
            resource: min(amount, _MAX_ADVANCE_THOUSANDTHS)
            for resource, amount in cost.items()
            if resource.startswith('slots/')
            and ledger.spare(resource) < max(amount, ledger.held(resource) * _LOW_WATER_FRACTION)
        }
        return {region: low} if low else {}

    def has_share(self, cost: dict[str, int], *, region: str) -> bool:
        """Return whether the held share covers ``cost`` while no request is in flight."""
        ledger = self.ledger_by_region.get(region)
        return ledger is not None and all(
            ledger.held(resource) >= amount for resource, amount in cost.items()
        )

    def is_used(self, *, service: str, region: str) -> bool:
        """Return whether requests of a service are in flight in a region."""
        ledger = self.ledger_by_region.get(region)
        resource = slots_resource(service=service, region=region)
        return ledger is not None and ledger.in_use(resource) > 0

    def _link(self, attempt: Attempt, *, region: str) -> str:
        """Return the link resource of the request, empty if no limited link is used."""
        own = self._environment.settings.region
        if region == own or not attempt.plan.has_link(source=own, destination=region):
            return ''
        return link_resource(source=own, destination=region)

    def _link_shortage(self, resource: str, *, attempt: Attempt) -> int:
        ledger = self.ledger_by_region.get(self._environment.settings.region)
        rate = ledger.held(resource) if ledger else 0
        bucket = self._bucket_by_link.setdefault(resource, LinkTokenBucket(now=attempt.now))
        return bucket.shortage(_kbit(attempt.route), rate=rate, now=attempt.now)


def priority_limit(priority: int) -> float:
    """Return the fraction of the held share that requests of a priority may use."""
    return 1 - _FRACTION_PER_PRIORITY * priority


def _kbit(route: Route | None) -> int:
    return _DEFAULT_REQUEST_KBIT if route is None else route.mean_kbit
