"""A target shed a request before running it."""

from balsamrail.forwarding.attempt_error import AttemptError


class ShedError(AttemptError):
    """The complete response has a status that the service declares as a refusal.

    :param retry_after_s: the delay after which the target accepts a retry, in seconds.
    """

    code = 'shed'

    def __init__(self, *, detail: str, retry_after_s: int) -> None:
        super().__init__(detail=detail, may_have_run=False)
        self.retry_after_s = retry_after_s
