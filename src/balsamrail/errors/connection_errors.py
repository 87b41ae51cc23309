"""Errors of connections to upstreams and to other hosts."""

from balsamrail.errors.balsamrail_error import BalsamrailError


class ConnectError(BalsamrailError):
    """A connection could not be opened.

    :param detail: one sentence for a person.
    :param has_timed_out: whether there was no answer in time; otherwise it was refused.
    """

    code = 'connect_failed'

    def __init__(self, *, detail: str, has_timed_out: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.has_timed_out = has_timed_out


class AnswerCutOffError(BalsamrailError):
    """An answer was cut off, since the unfinished answers take too much memory."""

    code = 'answer_cut_off'


class StrayBytesError(BalsamrailError):
    """Bytes arrived on a connection that waits for no answer."""

    code = 'stray_bytes'


class ExchangeError(BalsamrailError):
    """A request on a connection ended without a complete answer.

    :param detail: one sentence for a person.
    :param may_have_run: false only if no byte of the request was written.
    :param was_reused: whether the connection had carried another request before.
    :param has_timed_out: whether the deadline passed.
    """

    code = 'exchange_failed'

    def __init__(
        self,
        *,
        detail: str,
        may_have_run: bool,
        was_reused: bool = False,
        has_timed_out: bool = False,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.may_have_run = may_have_run
        self.was_reused = was_reused
        self.has_timed_out = has_timed_out


class PeerError(BalsamrailError):
    """A peer stream failed or carried something that is not a message."""

    code = 'peer_failed'


class TargetExcludedError(ExchangeError):
    """A target was ruled out after it was chosen, before a byte of the request was sent.

    :param reason: a word for logs.
    """

    code = 'target_ruled_out'

    def __init__(self, *, reason: str) -> None:
        super().__init__(detail=f'the target was ruled out: {reason}', may_have_run=False)
