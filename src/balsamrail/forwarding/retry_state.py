"""The results of the previous attempts of one request."""

from dataclasses import dataclass, field

from balsamrail.forwarding.attempt_error import AttemptError


@dataclass(slots=True, kw_only=True)
class RetryState:
    """The targets to exclude, the last failure and whether any attempt may have run."""

    tried: set[str] = field(default_factory=set)
    failure: AttemptError | None = None
    may_have_run: bool = False

    def record_failure(self, failure: AttemptError, *, address: str) -> None:
        """Record the failure of an attempt at ``address``.

        If a reused connection failed, the target may be retried over a new one.
        """
        self.failure = failure
        self.may_have_run = self.may_have_run or failure.may_have_run
        if failure.target_crashed or not failure.reused:
            self.tried.add(address)

    def needs_fresh_connection(self) -> bool:
        """Return whether idle connections are suspect because a reused one failed."""
        return self.failure is not None and self.failure.reused
