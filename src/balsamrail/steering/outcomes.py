"""What comes of attempts to admit requests."""

from balsamrail.environment import Environment
from balsamrail.errors import NoTargetError, OverloadedError
from balsamrail.steering.admission import Admission
from balsamrail.steering.attempt import Attempt
from balsamrail.steering.share_fence import ShareFence
from balsamrail.steering.shed_meter import ShedMeter


class Outcomes:
    """Counts admitted and shed requests and says when the shed ones should come back."""

    __slots__ = ('_environment', '_fence', '_meter_by_service')

    def __init__(self, *, environment: Environment, fence: ShareFence) -> None:
        self._environment = environment
        self._fence = fence
        self._meter_by_service: dict[str, ShedMeter] = {}

    def settle(
        self, attempt: Attempt, admission: Admission | None, *, is_short: bool
    ) -> Admission:
        """Return the admission if there is one.

        :param is_short: whether share was short, not targets.
        :raises OverloadedError: if share was short.
        :raises NoTargetError: if no target takes work.
        """
        service = attempt.service
        meter = self._meter_by_service.setdefault(service, ShedMeter(now=attempt.now))
        if admission is not None:
            meter.admit(now=attempt.now)
            return admission
        retry_after_s = meter.shed(now=attempt.now)
        if self._fence.is_suspended():
            # Confirmation takes seconds, whatever the demand.
            retry_after_s = 1
        self._environment.metrics.count('requests_shed')
        if is_short:
            raise OverloadedError(
                detail=f'no share left for {service}', retry_after_s=retry_after_s
            )
        raise NoTargetError(
            detail=f'no target of {service} takes work', retry_after_s=retry_after_s
        )
