"""Slow start of new targets."""

_MIN_FRACTION = 0.1


def effective_slots(*, slots: int, age_s: float, slow_start_s: float) -> float:
    """Return the effective slots of a target ``age_s`` seconds after it came into use.

    They increase linearly over ``slow_start_s``. The minimum is a tenth, since a target without
    any requests would never warm up::

        effective_slots(slots=4, age_s=15, slow_start_s=30)  # 2.0
    """
    if age_s >= slow_start_s:
        return float(slots)
    return slots * max(_MIN_FRACTION, age_s / slow_start_s)
