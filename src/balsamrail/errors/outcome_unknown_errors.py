"""Errors for requests that may have run."""

from balsamrail.errors.request_error import RequestError


class OutcomeUnknownError(RequestError):
    """The request may have run; only the upstream knows."""

    code = 'outcome_unknown'
    status = 504
    outcome = 'unknown'


class KeyClaimError(OutcomeUnknownError):
    """A caller-supplied key could not be claimed because the store did not respond.

    This host did not run the request, but an earlier request with the same key may have run on
    another host. Resending with the same key is safe.
    """

    code = 'store_unavailable'

    def __init__(self, *, detail: str, retry_after_s: float = 1) -> None:
        super().__init__(detail=detail, retry_after_s=retry_after_s)


class KeyNotReadyError(OutcomeUnknownError):
    """A starting host received a key whose request may already have run on another host."""

    code = 'not_ready'


class AnswerDroppedError(OutcomeUnknownError):
    """The request ran, but its response is no longer stored."""

    code = 'answer_dropped'


class TargetFailedError(RequestError):
    """The target aborted its response, so the request may have run."""

    code = 'target_failed'
    status = 502
    outcome = 'unknown'
