"""A reason for which a target is excluded, with its period."""

from dataclasses import dataclass

from balsamrail.placement.exclusion_reason import ExclusionReason


@dataclass(slots=True, kw_only=True, frozen=True)
class Exclusion:
    """An entry of the dump and the metrics.

    :param since: when it began, in seconds of the event loop.
    :param until: when it ends, ``None`` if that is not known.
    """

    reason: ExclusionReason
    since: float
    until: float | None = None
