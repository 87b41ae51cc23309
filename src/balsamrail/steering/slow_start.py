"""Effective slots of a target that has just started."""

_LEAST_FRACTION = 0.1


def effective_slots(*, slots: int, age_s: float, slow_start_s: float) -> float:
    """Return the slots that a target counts with, ``age_s`` seconds after it came into use.

    They rise linearly over ``slow_start_s``. They begin at a tenth, since a target that gets no
    request at all never warms up::

        effective_slots(slots=4, age_s=15, slow_start_s=30)  # 2.0
    """
    if age_s >= slow_start_s:
        return float(slots)
    return slots * max(_LEAST_FRACTION, age_s / slow_start_s)
