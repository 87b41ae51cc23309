"""The data on which the choice of a target was based."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ChoiceInputs:
    """What a host knew about a target when it chose it; logged to explain late requests.

    :param region: the region of the target.
    :param fill: the estimated number of requests at the target, divided by its slots.
    :param report_age_s: the age of the target's last load report, ``None`` if there was none.
    :param is_known: whether this host has recently sent the target a request for the object.
    :param is_bad: whether the target was considered slow or failing.
    :param slowdown: how long work took at the target according to its last report, weighted by the
        age of the report, relative to the usual time.
    """

    region: str
    fill: float
    report_age_s: float | None
    is_known: bool
    is_bad: bool
    slowdown: float
