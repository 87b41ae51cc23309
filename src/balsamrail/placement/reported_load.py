"""The load that a target reports in its responses."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ReportedLoad:
    """The running and queued requests of a target, and how many can run concurrently.

    :param slowdown: how long work takes on the target's machine at this moment, relative to its
        usual time. Other programs of the machine change it many times per second.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
