"""What the selection of a target would decide."""

from dataclasses import dataclass

from balsamrail.placement.passed_over import PassedOver
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.target_state import TargetState


@dataclass(slots=True, kw_only=True, frozen=True)
class SelectionPreview:
    """The target or the rejection that a new request would get now, and why.

    :param passed_over: the targets that were ruled out before the choice.
    :param candidates: the first targets in the order of preference of the object.
    """

    choice: TargetState | Rejection
    passed_over: PassedOver
    candidates: tuple[TargetState, ...]
