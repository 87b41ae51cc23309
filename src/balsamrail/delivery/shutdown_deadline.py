"""The time by which the requests of a host that is shutting down have to end."""

import math

from balsamrail.errors import HostLeavingError


class ShutdownDeadline:
    """Admits only requests that end before the process does.

    While the host is not shutting down, every request is admitted.
    """

    __slots__ = ('ends_at',)

    def __init__(self) -> None:
        self.ends_at = math.inf

    def admits(self, deadline: float) -> bool:
        """Return whether a request with this deadline ends in time.

        :param deadline: event loop time in seconds.
        """
        return deadline <= self.ends_at

    def check(self, deadline: float) -> None:
        """Reject a request that may not end in time.

        :param deadline: event loop time in seconds.
        :raises HostLeavingError: if it may not.
        """
        if not self.admits(deadline):
            # Other hosts serve it at once, so there is nothing to wait for.
            raise HostLeavingError(
                detail='the host may stop before the request ends', retry_after_s=0
            )
