"""Names and totals of the resources that shares are held of."""

from balsamrail.configuration import Declaration

THOUSANDTHS = 1_000
_KBIT_IN_MBIT = 1_000
# The cost of a request covers both directions of a link. Hosts on both sides load each
# direction, so each side may only plan with one half of the capacity.
_LINK_FRACTION = 0.5


def slots_resource(*, service: str, region: str) -> str:
    """Return the name of a service's slots in a region, counted in thousandths of a slot."""
    return f'slots/{service}/{region}'


def target_resource(*, service: str, address: str) -> str:
    """Return the name of the slots of one target, which are dealt out with each share epoch."""
    return f'target/{service}/{address}'


def link_resource(*, source: str, destination: str) -> str:
    """Return the name of the link that requests of ``source`` take, counted in kbit/s."""
    return f'link/{source}/{destination}'


def totals_of(declaration: Declaration, *, region: str) -> dict[str, int]:
    """Return the total of each resource whose shares ``shares/<region>`` holds.

    These are the slots of the region's targets less the headroom, and the links that requests
    leave the region by.
    """
    totals: dict[str, int] = {}
    for name, service in declaration.services.items():
        slots = sum(target.slots for target in declaration.targets_in(service=name, region=region))
        if slots:
            resource = slots_resource(service=name, region=region)
            totals[resource] = int(slots * THOUSANDTHS * (1 - service.headroom))
    for link in declaration.links:
        if region in link.between:
            other = next(end for end in link.between if end != region)
            resource = link_resource(source=region, destination=other)
            totals[resource] = int(link.capacity_mbit_s * _KBIT_IN_MBIT * _LINK_FRACTION)
    return totals
