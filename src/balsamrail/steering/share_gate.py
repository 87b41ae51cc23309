"""Whether held shares cover a request."""

from balsamrail.configuration import Route
from balsamrail.environment import Environment
from balsamrail.steering.attempt import Attempt
from balsamrail.steering.link_bucket import LinkBucket
from balsamrail.steering.resources import (
    THOUSANDTHS,
    link_resource,
    slots_resource,
    target_resource,
)
from balsamrail.steering.share_ledger import ShareLedger

_STEP_BY_PRIORITY = 0.1
_DEFAULT_KBIT = 64
# More is borrowed before the share runs out, since a request that finds none is shed.
_LOW_WATER = 0.5
# Less than a whole slot tells the lender that no request was short. A busy host that took the last
# slot of idle ones in advance would leave their first requests without any.
_IN_ADVANCE = THOUSANDTHS - 1


class ShareGate:
    """Checks the cost vector, the limit of the priority and the link of a request.

    :param enabled: whether shares limit anything; a test turns it off to see its check fail.
    """

    __slots__ = ('_bucket_by_link', '_environment', 'enabled', 'ledger_by_region')

    def __init__(self, *, environment: Environment, enabled: bool = True) -> None:
        self._environment = environment
        self.enabled = enabled
        self.ledger_by_region: dict[str, ShareLedger] = {}
        self._bucket_by_link: dict[str, LinkBucket] = {}

    def shortage(self, attempt: Attempt, *, region: str) -> dict[str, dict[str, int]]:
        """Return what is missing for a request by region of the shares, nothing if it may go."""
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

    def dealt(self, addresses: list[str], *, service: str, region: str) -> list[str]:
        """Return the targets at which a slot that is dealt to this host is free."""
        ledger = self.ledger_by_region.get(region)
        if ledger is None:
            return []
        return [
            address
            for address in addresses
            if ledger.spare(target_resource(service=service, address=address)) > 0
        ]

    def take(self, attempt: Attempt, *, region: str, address: str) -> dict[str, int]:
        """Take the cost of a request at a target and return it."""
        slots = attempt.plan.cost(service=attempt.service, region=region)
        cost = {**slots, target_resource(service=attempt.service, address=address): 1}
        ledger = self.ledger_by_region.get(region)
        if ledger is not None:
            ledger.take(cost)
        bucket = self._bucket_by_link.get(self._link(attempt, region=region))
        if bucket is not None:
            bucket.take(_kbit(attempt.route))
        return cost

    def give_back(self, cost: dict[str, int], *, region: str) -> None:
        """Give the slots of a request back; what went over a link stays taken."""
        ledger = self.ledger_by_region.get(region)
        if ledger is not None:
            ledger.give_back(cost)

    def low_water(self, cost: dict[str, int], *, region: str) -> dict[str, dict[str, int]]:
        """Return what to borrow in advance after a request took ``cost``."""
        ledger = self.ledger_by_region.get(region)
        if ledger is None:
            return {}
        low = {
            resource: min(amount, _IN_ADVANCE)
            for resource, amount in cost.items()
            if resource.startswith('slots/')
            and ledger.spare(resource) < max(amount, ledger.held(resource) * _LOW_WATER)
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
        """Return the link that the request takes, empty if it takes none that is limited."""
        own = self._environment.settings.region
        if region == own or not attempt.plan.has_link(source=own, destination=region):
            return ''
        return link_resource(source=own, destination=region)

    def _link_shortage(self, resource: str, *, attempt: Attempt) -> int:
        ledger = self.ledger_by_region.get(self._environment.settings.region)
        rate = ledger.held(resource) if ledger else 0
        bucket = self._bucket_by_link.setdefault(resource, LinkBucket(now=attempt.now))
        return bucket.shortage(_kbit(attempt.route), rate=rate, now=attempt.now)


def priority_limit(priority: int) -> float:
    """Return the part of the held share that requests of a priority may use."""
    return 1 - _STEP_BY_PRIORITY * priority


def _kbit(route: Route | None) -> int:
    return _DEFAULT_KBIT if route is None else route.mean_kbit
