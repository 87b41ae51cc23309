"""The targets that were excluded for a request, with the reasons."""

from balsamrail.placement.exclusion_reason import ExclusionReason

# Bounds the log line: all of the hundreds of targets of a service may be ruled out at once.
_MAX_LISTED = 8


class PassedOver:
    """Collects the excluded targets of a request for its log line."""

    __slots__ = ('_reason_by_id',)

    def __init__(self) -> None:
        self._reason_by_id: dict[str, ExclusionReason] = {}

    def note(self, target_id: str, reason: ExclusionReason) -> None:
        """Record that a target was ruled out."""
        self._reason_by_id[target_id] = reason

    def reason_of(self, target_id: str) -> ExclusionReason | None:
        """Return why a target was ruled out, ``None`` if it was not."""
        return self._reason_by_id.get(target_id)

    def fraction_of(self, reason: ExclusionReason) -> float:
        """Return the fraction of the targets that were ruled out for a reason, 0 if there are none."""
        reasons = list(self._reason_by_id.values())
        return reasons.count(reason) / len(reasons) if reasons else 0

    def text(self) -> str:
        """Return the first targets with their reasons, as in ``i-1:leaving,i-2:full``."""
        listed = [
            f'{target_id}:{reason.value}' for target_id, reason in self._reason_by_id.items()
        ]
        omitted = len(listed) - _MAX_LISTED
        return ','.join([*listed[:_MAX_LISTED], *([f'+{omitted}'] if omitted > 0 else ())])
