"""Faults that the stand-in of the store can be told to show."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Set through ``POST /faults``; fields that are left out of a post keep their value.

    ``down`` closes connections without an answer. ``delay_s`` holds each call back before it takes
    effect. The next ``lose_answers`` writes take effect without an answer, and the next
    ``garble_answers`` reads and writes are answered with bytes that are not JSON.
    ``list_lag_s`` is the age of the host list.
    """

    down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    garble_answers: int = 0
    list_lag_s: float = 0
