"""Names and totals of the resources that are divided into shares."""

from balsamrail.configuration import Declaration

THOUSANDTHS_PER_SLOT = 1_000
_KBIT_PER_MBIT = 1_000
# The cost of a request covers both directions of a link. Hosts on both sides load each
# direction, so each side may use only half of the capacity.
_LINK_FRACTION = 0.5


def slots_resource(*, service: str, region: str) -> str:
    """Return the name of a service's slots in a region, in thousandths of a slot."""
    return f'slots/{service}/{region}'


def target_resource(*, service: str, address: str) -> str:
    """Return the name of the slots of one target, which each share epoch assigns to holders."""
    return f'target/{service}/{address}'


def link_resource(*, source: str, destination: str) -> str:
    """Return the name of the link used by requests from ``source``, in kbit/s."""
    return f'link/{source}/{destination}'


def resource_totals(declaration: Declaration, *, region: str) -> dict[str, int]:
    """Return the total of each resource that ``shares/<region>`` divides into shares.

    These are the slots of the region's targets less the headroom, and the outgoing links of the
    region.
    """
    totals: dict[str, int] = {}
    for name, service in declaration.services.items():
        slots = sum(target.slots for target in declaration.targets_in(service=name, region=region))
        if slots:
            resource = slots_resource(service=name, region=region)
            totals[resource] = int(slots * THOUSANDTHS_PER_SLOT * (1 - service.headroom))
    for link in declaration.links:
        if region in link.between:
            other = next(end for end in link.between if end != region)
            resource = link_resource(source=region, destination=other)
            totals[resource] = int(link.capacity_mbit_s * _KBIT_PER_MBIT * _LINK_FRACTION)
    return totals
