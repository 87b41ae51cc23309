"""How much work a target can take."""

from dataclasses import dataclass

# A target this much slower than the others of its service counts as slow.
_SLOW_FACTOR = 1.6
_LEAST_PART = 0.05
_FAILURE_WEIGHT = 2.0


@dataclass(slots=True, kw_only=True)
class TargetRoom:
    """A target as a place for objects.

    :param is_usable: whether it may get requests at all.
    :param is_cold: whether it tolerates only few requests for now.
    :param slowness: its answer times in proportion to those of the other targets.
    :param failure_ratio: the part of the requests that it breaks off.
    :param foreign_load: the load in slots that other regions place there.
    :param load: the load in slots that this region places there.
    :param buckets: how many buckets this region places there.
    """

    target_id: str
    service: str
    region: str
    slots: int
    is_usable: bool = True
    is_cold: bool = False
    slowness: float = 1
    failure_ratio: float = 0
    foreign_load: float = 0
    load: float = 0
    buckets: int = 0

    def capacity(self) -> float:
        """Return the slots of a sound target that it is worth."""
        capacity = float(self.slots)
        if self.slowness > _SLOW_FACTOR:
            capacity /= self.slowness
        sound_part = max(_LEAST_PART, 1 - _FAILURE_WEIGHT * self.failure_ratio)
        return capacity * sound_part

    def utilization(self, *, added: float = 0) -> float:
        """Return the load in proportion to the capacity.

        :param added: further load in slots.
        """
        return (self.load + self.foreign_load + added) / self.capacity()
