"""What one request costs through the dependency graph."""

import math

from balsamrail.configuration import Declaration
from balsamrail.steering.resources import THOUSANDTHS, slots_resource


def cost_vector(declaration: Declaration, *, service: str, region: str) -> dict[str, int]:
    """Return the slots that a request of ``service`` takes in ``region``.

    A service that is reached on several paths counts once for each, and calls multiply along a
    path. Fractions are rounded up. For ``diary`` with half a call to ``bookings``::

        {'slots/diary/attiki': 1000, 'slots/bookings/attiki': 500}
    """
    calls_by_service: dict[str, float] = {}
    waiting = [(service, 1.0)]
    while waiting:
        name, calls = waiting.pop()
        calls_by_service[name] = calls_by_service.get(name, 0) + calls
        depends_on = declaration.services[name].depends_on
        waiting.extend((other, calls * count) for other, count in depends_on.items())
    return {
        slots_resource(service=name, region=region): math.ceil(calls * THOUSANDTHS)
        for name, calls in calls_by_service.items()
        if calls > 0
    }
