"""Detects requests that crash the targets that run them."""

import asyncio
from collections.abc import Iterable

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.delivery.connect_probe import Reachability, probe_reachability
from balsamrail.delivery.request_fingerprint import RequestFingerprint
from balsamrail.environment import Environment
from balsamrail.errors import QuarantinedError, TargetCrashingRequestError
from balsamrail.exchange.crash_registry import CrashRegistry
from balsamrail.placement.target_state import TargetState

# Requests with a fingerprint are refused once they have crashed this many targets.
CRASH_LIMIT = 3
_PROBE_TIMEOUT_S = 0.5
_RETRY_AFTER_S = 5.0


class CrashDetector:
    """Checks whether a target crashed when it dropped a connection.

    A target that refuses a connection just after it broke one off has crashed, and the request
    on the broken one may be the cause. Any response to a request with the same
    fingerprint clears that fingerprint, so that a frequent request is not held responsible for
    crashes that it did not cause.

    :param register: shares the crash counts with the other hosts.
    """

    __slots__ = ('_checks', '_environment', '_register')

    def __init__(self, *, environment: Environment, register: CrashRegistry) -> None:
        self._environment = environment
        self._register = register
        self._checks: set[asyncio.Task[None]] = set()

    def check(self, fingerprint: RequestFingerprint, *, services: Iterable[str]) -> None:
        """Refuse a request that crashed too many targets.

        :param services: the services to which its route leads.
        :raises QuarantinedError: if it did.
        """
        if not self._register.has_reports():
            return
        of_services = map(fingerprint.of_service, services)
        try:
            self._register.check(fingerprint.value, *of_services, limit=CRASH_LIMIT)
        except TargetCrashingRequestError as error:
            raise QuarantinedError(detail=error.detail, retry_after_s=_RETRY_AFTER_S) from error

    def record_response(self, fingerprint: RequestFingerprint, *, service: str) -> None:
        """Clear the crash count of a request that a target of ``service`` has completed."""
        if self._register.has_reports():
            self._register.clear(fingerprint.value)
            self._register.clear(fingerprint.of_service(service))

    def record_disconnect(self, fingerprint: RequestFingerprint, state: TargetState) -> None:
        """Start a check whether the target that dropped the connection has crashed."""
        check = asyncio.create_task(self._probe_target(fingerprint, state))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _probe_target(self, fingerprint: RequestFingerprint, state: TargetState) -> None:
        reachability = await probe_reachability(
            environment=self._environment, address=state.entry.address, timeout_s=_PROBE_TIMEOUT_S
        )
        # A machine that lost power does not respond at all; a request cannot cause that.
        if reachability is Reachability.refusing:
            target = _incarnation_of(state.entry)
            service = state.entry.service
            self._register.report(fingerprint.value, service=service, target=target)
            self._register.report_to_earlier_versions(
                fingerprint.of_service(service), target=target
            )


def _incarnation_of(entry: TargetEntry) -> str:
    """Return what a crash ends: a target that starts again under its id can crash again."""
    return f'{entry.target_id}@{entry.born_ms}'
