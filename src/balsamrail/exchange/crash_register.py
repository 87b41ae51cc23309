"""Which requests crash targets."""

from collections import Counter
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import CrashesTargetsError
from balsamrail.membership.network import Network
from balsamrail.messages import CrashReport

_REJECTION_PERIOD_S = 600.0
# An attacker can make fingerprints at will, so only the newest are kept.
_MAX_FINGERPRINTS = 10_000


class CrashRegister:
    """Counts, for each fingerprint, the distinct targets that crashed while they ran it.

    Reports are passed on to all hosts. They lapse ten minutes after the last one.
    """

    __slots__ = ('_crashes', '_environment', '_in_flight_by_target', '_network')

    def __init__(self, *, environment: Environment, network: Network) -> None:
        self._environment = environment
        self._network = network
        self._in_flight_by_target: dict[str, Counter[bytes]] = {}
        # Wall time of the last crash, by target, by fingerprint.
        self._crashes: dict[bytes, dict[str, float]] = {}
        network.subscribe(CrashReport, self._receive)

    def check(self, fingerprint: bytes, *, limit: int) -> None:
        """Refuse a request that crashed ``limit`` targets.

        :raises CrashesTargetsError: for ten minutes after the last of these crashes.
        """
        last = self._last_crash_wall_s(fingerprint)
        if len(self._crashes.get(fingerprint, ())) < limit:
            return
        remaining_s = int(last + _REJECTION_PERIOD_S - self._environment.clock.wall()) + 1
        raise CrashesTargetsError(
            detail=f'the request crashed {limit} targets',
            retry_after_s=remaining_s,
        )

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a target crashed while it ran this request."""
        return bool(self._last_crash_wall_s(fingerprint))

    def begin(self, fingerprint: bytes, *, target: str) -> bool:
        """Note that a target runs the request; return whether it may.

        A suspect does not join another one, so that the two are not blamed together twice.
        """
        in_flight = self._in_flight_by_target.setdefault(target, Counter())
        if self.is_suspect(fingerprint) and any(map(self.is_suspect, in_flight)):
            return False
        in_flight[fingerprint] += 1
        return True

    def end(self, fingerprint: bytes, *, target: str) -> None:
        """Note that the request is no longer on the target."""
        in_flight = self._in_flight_by_target.get(target)
        if in_flight is None:
            return
        in_flight[fingerprint] -= 1
        if in_flight[fingerprint] <= 0:
            in_flight.pop(fingerprint)
        if not in_flight:
            self._in_flight_by_target.pop(target)

    def report_crash(self, *, service: str, target: str) -> None:
        """Report every request that is in flight on a crashed target to all hosts."""
        for fingerprint in list(self._in_flight_by_target.get(target, ())):
            self.report(fingerprint, service=service, target=target)

    def report(self, fingerprint: bytes, *, service: str, target: str) -> None:
        """Report to all hosts that a target crashed while it ran a request."""
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

    def forgive(self, fingerprint: bytes) -> None:
        """Forget what a request was blamed for, since a target has just run it to its end."""
        self._crashes.pop(fingerprint, None)

    def dump(self) -> dict[str, Any]:
        """Return the crashed targets by fingerprint."""
        return {key.hex(): sorted(targets) for key, targets in self._crashes.items()}

    def _receive(self, host: str, report: CrashReport) -> None:
        self._record(report)

    def _record(self, report: CrashReport) -> None:
        # Another host's clock may be ahead, which must not lengthen the refusal.
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
