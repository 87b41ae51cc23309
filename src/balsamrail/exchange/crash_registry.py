"""Registry of requests that crash targets."""

from collections import Counter
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import TargetCrashingRequestError
from balsamrail.membership.network import Network
from balsamrail.messages import CrashReport

_REJECTION_PERIOD_S = 600.0
# An attacker can create any number of fingerprints, so only the newest are stored.
_MAX_FINGERPRINTS = 10_000


class CrashRegistry:
    """Counts, for each fingerprint, the distinct targets that crashed while running it.

    Reports are broadcast to all hosts. They expire ten minutes after the last crash.
    """

    __slots__ = ('_crashes', '_environment', '_in_flight_by_target', '_network')

    def __init__(self, *, environment: Environment, network: Network) -> None:
        self._environment = environment
        self._network = network
        self._in_flight_by_target: dict[str, Counter[bytes]] = {}
        # Wall time of the last crash by fingerprint and target.
        self._crashes: dict[bytes, dict[str, float]] = {}
        network.subscribe(CrashReport, self._receive)

    def check(self, fingerprint: bytes, *, limit: int) -> None:
        """Reject a request that crashed ``limit`` targets.

        :raises TargetCrashingRequestError: for ten minutes after the last of these crashes.
        """
        last = self._last_crash_wall_s(fingerprint)
        if len(self._crashes.get(fingerprint, ())) < limit:
            return
        remaining_s = int(last + _REJECTION_PERIOD_S - self._environment.clock.wall()) + 1
        raise TargetCrashingRequestError(
            detail=f'the request crashed {limit} targets',
            retry_after_s=remaining_s,
        )

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a target crashed while running this request."""
        return bool(self._last_crash_wall_s(fingerprint))

    def begin(self, fingerprint: bytes, *, target: str) -> bool:
        """Record the start of the request on a target; return ``False`` if it must not start.

        Two suspects never run on the same target, so that one crash cannot implicate both again.
        """
        in_flight = self._in_flight_by_target.setdefault(target, Counter())
        if self.is_suspect(fingerprint) and any(map(self.is_suspect, in_flight)):
            return False
        in_flight[fingerprint] += 1
        return True

    def end(self, fingerprint: bytes, *, target: str) -> None:
        """Record the end of the request on a target."""
        in_flight = self._in_flight_by_target.get(target)
        if in_flight is None:
            return
        in_flight[fingerprint] -= 1
        if in_flight[fingerprint] <= 0:
            in_flight.pop(fingerprint)
        if not in_flight:
            self._in_flight_by_target.pop(target)

    def report_crash(self, *, service: str, target: str) -> None:
        """Report all requests in flight on a crashed target to all hosts."""
        for fingerprint in list(self._in_flight_by_target.get(target, ())):
            self.report(fingerprint, service=service, target=target)

    def report(self, fingerprint: bytes, *, service: str, target: str) -> None:
        """Report to all hosts that a target crashed while running a request."""
        if target in self._crashes.get(fingerprint, ()):
            return
        wall_s = self._environment.clock.wall()
        report = CrashReport(
            fingerprint=fingerprint,
            service=service,
            target=target,
            wall_s=wall_s,
        )
        self._record(report)
        topic = f'crash/{fingerprint.hex()}/{target}'
        self._network.flood(report, topic=topic, version=(wall_s,))
        self._environment.log.event(
            'target_crashed',
            service=service,
            target=target,
            fingerprint=fingerprint.hex(),
        )

    def clear(self, fingerprint: bytes) -> None:
        """Remove the crashes of a request, since a target has just completed it."""
        self._crashes.pop(fingerprint, None)

    def dump(self) -> dict[str, Any]:
        """Return the crashed targets by fingerprint."""
        return {key.hex(): sorted(targets) for key, targets in self._crashes.items()}

    def _receive(self, host: str, report: CrashReport) -> None:
        self._record(report)

    def _record(self, report: CrashReport) -> None:
        # The clock of another host may be ahead, which must not extend the rejection period.
        wall_s = min(report.wall_s, self._environment.clock.wall())
        targets = self._crashes.pop(report.fingerprint, {})
        targets[report.target] = max(wall_s, targets.get(report.target, 0))
        self._crashes[report.fingerprint] = targets
        if len(self._crashes) > _MAX_FINGERPRINTS:
            self._crashes.pop(next(iter(self._crashes)))

    def _last_crash_wall_s(self, fingerprint: bytes) -> float:
        targets = self._crashes.get(fingerprint)
        if targets is None:
            return 0
        last = max(targets.values())
        if self._environment.clock.wall() - last >= _REJECTION_PERIOD_S:
            self._crashes.pop(fingerprint)
            return 0
        return last
