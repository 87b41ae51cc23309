"""Resource cost of one request across the service dependency graph."""

import math

from balsamrail.configuration import Declaration
from balsamrail.steering.resources import THOUSANDTHS_PER_SLOT, slots_resource


def cost_vector(declaration: Declaration, *, service: str, region: str) -> dict[str, int]:
    """Return the slots that a request of ``service`` occupies in ``region``, in thousandths.

    Call rates multiply along a dependency path and add up over all paths to a service. Fractions
    are rounded up. For ``diary`` with 0.5 calls to ``bookings`` per request::

        {'slots/diary/attiki': 1000, 'slots/bookings/attiki': 500}
    """
    calls_by_service: dict[str, float] = {}
    pending = [(service, 1.0)]
    while pending:
        name, calls = pending.pop()
        calls_by_service[name] = calls_by_service.get(name, 0) + calls
        depends_on = declaration.services[name].depends_on
        pending.extend((other, calls * count) for other, count in depends_on.items())
    return {
        slots_resource(service=name, region=region): math.ceil(calls * THOUSANDTHS_PER_SLOT)
        for name, calls in calls_by_service.items()
        if calls > 0
    }
