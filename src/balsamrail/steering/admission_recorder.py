"""Accounting of admitted and shed requests."""

from balsamrail.environment import Environment
from balsamrail.errors import NoTargetError, OverloadedError
from balsamrail.steering.admission import Admission
from balsamrail.steering.attempt import Attempt
from balsamrail.steering.retry_after_estimator import RetryAfterEstimator
from balsamrail.steering.share_fence import ShareFence


class AdmissionRecorder:
    """Counts admitted and shed requests and computes the retry delay of shed ones."""

    __slots__ = ('_environment', '_estimator_by_service', '_fence')

    def __init__(self, *, environment: Environment, fence: ShareFence) -> None:
        self._environment = environment
        self._fence = fence
        self._estimator_by_service: dict[str, RetryAfterEstimator] = {}

    def record(
        self, attempt: Attempt, admission: Admission | None, *, is_share_short: bool
    ) -> Admission:
        """Return the admission if there is one.

        :param is_share_short: whether the request failed for lack of share, not of targets.
        :raises OverloadedError: if the share did not cover the request.
        :raises NoTargetError: if no target accepts requests.
        """
        service = attempt.service
        estimator = self._estimator_by_service.setdefault(
            service, RetryAfterEstimator(now=attempt.now)
        )
        if admission is not None:
            estimator.count_admitted(now=attempt.now)
            return admission
        retry_after_s = estimator.count_shed(now=attempt.now)
        if self._fence.is_suspended():
            # Confirmation of the shares takes seconds, regardless of the demand.
            retry_after_s = 1
        self._environment.metrics.count('requests_shed')
        if is_share_short:
            raise OverloadedError(
                detail=f'no share available for {service}', retry_after_s=retry_after_s
            )
        raise NoTargetError(
            detail=f'no target of {service} accepts requests', retry_after_s=retry_after_s
        )
