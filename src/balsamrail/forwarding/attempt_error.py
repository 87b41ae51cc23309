"""The failure of one attempt at a target."""

from balsamrail.errors import BalsamrailError


class AttemptError(BalsamrailError):
    """An attempt ended without a complete answer.

    :param detail: one sentence for a person.
    :param may_have_run: false only if no byte of the request was written, or if the whole answer
        has a status that the service declares as a refusal.
    :param reused: whether the connection had carried another request before.
    :param timed_out: whether the attempt reached its deadline.

    ``target_crashed`` is set when the target refuses new connections afterwards.
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
