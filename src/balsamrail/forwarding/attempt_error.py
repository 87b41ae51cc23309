"""The failure of one attempt to send a request to a target."""

from balsamrail.errors import BalsamrailError


class AttemptError(BalsamrailError):
    """An attempt ended without a complete response.

    :param detail: a human-readable description.
    :param may_have_run: false only if no byte of the request was written, or if the response is
        complete and has a status that the service declares as a refusal.
    :param reused: whether the connection had carried a request before.
    :param timed_out: whether the attempt exceeded its deadline.

    ``target_crashed`` is set if the target refuses new connections after the failure.
    """

    code = 'attempt_failed'

    def __init__(
        self,
        *,
        detail: str,
        may_have_run: bool,
        reused: bool = False,
        timed_out: bool = False,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.may_have_run = may_have_run
        self.reused = reused
        self.timed_out = timed_out
        self.target_crashed = False
