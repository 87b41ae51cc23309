"""The parts of other modules that forwarding uses."""

from typing import Protocol

from balsamrail.configuration import Declaration, Route, Target
from balsamrail.membership.member import Member
from balsamrail.steering.attempt_result import AttemptResult


class Declarations(Protocol):
    """The tracker of the configuration."""

    def for_caller(self, caller: str) -> tuple[int, Declaration]:
        """Return the revision and the declaration in force for a caller."""


class Admitted(Protocol):
    """A request's place at a target."""

    @property
    def target(self) -> Target:
        """The target that was chosen."""

    def close(self, result: AttemptResult, *, latency_s: float = 0) -> None:
        """Give the shares back; closing twice does nothing."""


class Admissions(Protocol):
    """The router."""

    async def admit_with_borrowing(
        self,
        *,
        service: str,
        declaration: Declaration,
        route: Route,
        tried_addresses: frozenset[str] = ...,
        allowed_addresses: frozenset[str] | None = ...,
        limit_s: float = ...,
    ) -> Admitted:
        """Choose a target that is not in ``tried_addresses`` and take the shares for it.

        :param limit_s: how long to wait for share from other hosts, in seconds.
        """


class KnownMembers(Protocol):
    """The member table."""

    def get(self, host: str) -> Member | None:
        """Return the newest known incarnation of a host."""


class Judge(Protocol):
    """The judge of a trial."""

    def observe(self, *, revision: int, failed: bool, latency_s: float) -> None:
        """Count a request."""
