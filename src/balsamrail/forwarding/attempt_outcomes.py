"""Maps the results of attempts to errors for the caller and to results for the target."""

from balsamrail.errors import (
    DeadlineExpiredError,
    NoTargetError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    RequestError,
)
from balsamrail.exchange.response import Response
from balsamrail.forwarding.plan import Plan
from balsamrail.forwarding.retry_state import RetryState
from balsamrail.forwarding.shed_error import ShedError
from balsamrail.steering.attempt_result import AttemptResult

_FAILED_STATUSES = frozenset((502, 503, 504))
_MAX_RETRY_AFTER_DIGITS = 4


def final_error(plan: Plan, retry_state: RetryState, *, now: float) -> RequestError:
    """Return the error of a request that is not retried.

    :param now: event loop time in seconds.
    """
    failure = retry_state.failure
    detail = 'no target responded' if failure is None else failure.detail
    if retry_state.may_have_run:
        return OutcomeUnknownError(detail=detail)
    if isinstance(failure, ShedError):
        return _overloaded(failure)
    if now >= plan.deadline:
        return DeadlineExpiredError(detail=detail)
    return NoTargetError(detail=detail)


def admission_error(refusal: NotRunError, retry_state: RetryState) -> RequestError:
    """Return the error of a request that was not admitted, possibly after earlier attempts."""
    if retry_state.may_have_run:
        return OutcomeUnknownError(detail=f'an attempt failed, then: {refusal.detail}')
    # The Retry-After of a target is more useful than the error that no other target is left.
    failure = retry_state.failure
    return _overloaded(failure) if isinstance(failure, ShedError) else refusal


def attempt_result_of(plan: Plan, response: Response) -> AttemptResult:
    """Return the result of an attempt with a complete response."""
    if response.status in plan.service.refusal_statuses:
        return AttemptResult.refused
    return AttemptResult.failed if response.status in _FAILED_STATUSES else AttemptResult.ok


def shed_error_of(response: Response) -> ShedError:
    """Return the error for a response with a declared refusal status."""
    text = response.headers.get('Retry-After', '')
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_RETRY_AFTER_DIGITS
    return ShedError(
        detail=f'the target refused the request with status {response.status}',
        retry_after_s=int(text) if is_number else 1,
    )


def _overloaded(failure: ShedError) -> OverloadedError:
    return OverloadedError(detail=failure.detail, retry_after_s=failure.retry_after_s)
