"""Permission to run one request."""

from collections.abc import Callable


class QuotaGrant:
    """What a request took from the quota of its customer.

    :param put_back: returns it; ``None`` if the request took nothing.
    """

    __slots__ = ('_put_back',)

    def __init__(self, *, put_back: Callable[[], None] | None = None) -> None:
        self._put_back = put_back

    def release_unused(self) -> None:
        """Return what the request took, since it has not run; idempotent."""
        if self._put_back is not None:
            self._put_back()
            self._put_back = None
