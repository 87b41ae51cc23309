"""Faults that can be injected into the store stand-in."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Set through ``POST /faults``; omitted fields keep their values.

    ``down`` closes connections without a response. ``delay_s`` delays each call before it takes
    effect. The next ``lose_answers`` writes take effect without a response, and the next
    ``garble_answers`` reads and writes are answered with invalid JSON. ``list_lag_s`` is the age
    of the served host list.
    """

    down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    garble_answers: int = 0
    list_lag_s: float = 0
