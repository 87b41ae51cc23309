"""Permission to send one request to one target."""

from collections.abc import Callable

from balsamrail.configuration import Target
from balsamrail.steering.attempt_result import AttemptResult


class Admission:
    """Holds the capacity that one attempt has acquired until it is closed.

    Each admission covers exactly one attempt::

        admission = router.admit(service='diary', declaration=declaration, route=route)
        try:
            ...
        finally:
            admission.close(AttemptResult.ok, latency_s=0.02)
    """

    __slots__ = ('_release', 'region', 'target')

    def __init__(
        self,
        *,
        target: Target,
        region: str,
        release: Callable[[AttemptResult, float], None],
    ) -> None:
        self.target = target
        self.region = region
        self._release: Callable[[AttemptResult, float], None] | None = release

    def close(self, result: AttemptResult, *, latency_s: float = 0) -> None:
        """Release the acquired capacity and report the result of the attempt.

        Further calls have no effect.
        """
        release, self._release = self._release, None
        if release is not None:
            release(result, latency_s)
