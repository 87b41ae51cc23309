"""Interfaces of other packages that forwarding depends on."""

from typing import Protocol

from balsamrail.configuration import Declaration, Route, Target
from balsamrail.membership.member import Member
from balsamrail.steering.attempt_result import AttemptResult


class DeclarationProvider(Protocol):
    """Provides declarations; implemented by the configuration tracker."""

    def for_caller(self, caller: str) -> tuple[int, Declaration]:
        """Return the revision and the declaration in force for a caller."""


class Admission(Protocol):
    """Admission of a request to a target."""

    @property
    def target(self) -> Target:
        """The selected target."""

    def close(self, result: AttemptResult, *, latency_s: float = 0) -> None:
        """Release the shares; idempotent."""


class AdmissionRouter(Protocol):
    """Admits requests; implemented by the router."""

    async def admit_with_borrowing(
        self,
        *,
        service: str,
        declaration: Declaration,
        route: Route,
        tried_addresses: frozenset[str] = ...,
        allowed_addresses: frozenset[str] | None = ...,
        limit_s: float = ...,
    ) -> Admission:
        """Select a target that is not in ``tried_addresses`` and acquire shares for it.

        :param limit_s: maximum time to wait for shares borrowed from other hosts, in seconds.
        """


class MemberLookup(Protocol):
    """Looks up members; implemented by the member table."""

    def get(self, host: str) -> Member | None:
        """Return the latest known incarnation of a host."""


class TrialObserver(Protocol):
    """Observes the results of requests during a trial of a revision."""

    def observe(self, *, revision: int, failed: bool, latency_s: float) -> None:
        """Record the result of a request."""
