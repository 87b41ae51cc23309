"""Errors of connections to upstreams and to other hosts."""

from balsamrail.errors.balsamrail_error import BalsamrailError


class ConnectError(BalsamrailError):
    """A connection could not be opened.

    :param detail: a human-readable description.
    :param has_timed_out: whether the attempt timed out; otherwise it was refused.
    """

    code = 'connect_failed'

    def __init__(self, *, detail: str, has_timed_out: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.has_timed_out = has_timed_out


class AnswerCutOffError(BalsamrailError):
    """A response was aborted because incomplete responses exceed the memory limit."""

    code = 'answer_cut_off'


class UnsolicitedDataError(BalsamrailError):
    """Data arrived on a connection with no outstanding request."""

    code = 'stray_bytes'


class ExchangeError(BalsamrailError):
    """A request on a connection ended without a complete response.

    :param detail: a human-readable description.
    :param may_have_run: false only if no byte of the request was written.
    :param was_reused: whether the connection had been used for another request before.
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
    """A peer stream failed or contained an invalid message."""

    code = 'peer_failed'


class TargetExcludedError(ExchangeError):
    """A target was ruled out after its selection, before any byte of the request was sent.

    :param reason: a short reason for logs.
    """

    code = 'target_ruled_out'

    def __init__(self, *, reason: str) -> None:
        super().__init__(detail=f'the target was ruled out: {reason}', may_have_run=False)
