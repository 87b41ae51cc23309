"""Registry of requests that crash targets."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from itertools import islice
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import TargetCrashingRequestError
from balsamrail.membership.network import Network
from balsamrail.messages import CrashReport

_REJECTION_PERIOD_S = 600.0
# An attacker can create any number of fingerprints, so only the newest are stored.
_MAX_FINGERPRINTS = 10_000
# In place of the service, marks the copy of a report for hosts that count crashes by service.
_EARLIER_VERSIONS = ''
# Bounds what a host sends to each peer that connects, to about 400 KB with the copies.
_MAX_REPEATED_FINGERPRINTS = 1_000


class CrashRegistry:
    """Counts, for each fingerprint, the distinct targets that crashed while running it.

    Reports are broadcast to all hosts, and repeated to each host that connects later, for example
    because it has been restarted. They expire ten minutes after the last crash.
    """

    __slots__ = (
        '_copies',
        '_environment',
        '_in_flight_by_target',
        '_listeners',
        '_network',
        '_reports',
        '_served_at_by_fingerprint',
    )

    def __init__(self, *, environment: Environment, network: Network) -> None:
        self._environment = environment
        self._network = network
        self._in_flight_by_target: dict[str, Counter[bytes]] = {}
        self._listeners: list[Callable[[CrashReport, bool], None]] = []
        # By fingerprint and target; the fingerprints that were reported last come last.
        self._reports: dict[bytes, dict[str, CrashReport]] = {}
        # The reports for earlier versions, which are not counted here.
        self._copies: dict[bytes, dict[str, CrashReport]] = {}
        # Wall time at which a target completed a request that had been reported before.
        self._served_at_by_fingerprint: dict[bytes, float] = {}
        network.subscribe(CrashReport, self._receive)
        network.repeat_to_peers(self._recent_reports)

    def subscribe(self, on_report: Callable[[CrashReport, bool], None]) -> None:
        """Call ``on_report`` with each new report, and whether it is this host's own."""
        self._listeners.append(on_report)

    def reports_of(self, fingerprint: bytes) -> list[CrashReport]:
        """Return the known reports on a fingerprint."""
        return list(self._reports.get(fingerprint, {}).values())

    def add(self, reports: Iterable[CrashReport]) -> None:
        """Add reports that were kept elsewhere, without telling other hosts."""
        for report in reports:
            self._record(report)

    def has_reports(self) -> bool:
        """Return whether any request is known to have crashed a target."""
        return bool(self._reports)

    def check(self, *fingerprints: bytes, limit: int) -> None:
        """Reject a request that crashed ``limit`` targets.

        :param fingerprints: all fingerprints under which its crashes may have been reported.
        :raises TargetCrashingRequestError: for ten minutes after the last of these crashes.
        """
        last = max(map(self._last_crash_wall_s, fingerprints))
        if sum(len(self._reports.get(each, ())) for each in fingerprints) < limit:
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
        report = CrashReport(
            fingerprint=fingerprint,
            service=service,
            target=target,
            wall_s=self._environment.clock.wall(),
        )
        if not self._record(report):
            return
        self._notify(report, is_own=True)
        self._flood(report)
        self._environment.log.event(
            'target_crashed',
            service=service,
            target=target,
            fingerprint=fingerprint.hex(),
        )

    def report_to_earlier_versions(self, fingerprint: bytes, *, target: str) -> None:
        """Report a crash under the fingerprint of earlier versions, which only those count."""
        self._flood_copy(
            CrashReport(
                fingerprint=fingerprint,
                service=_EARLIER_VERSIONS,
                target=target,
                wall_s=self._environment.clock.wall(),
            )
        )

    def clear(self, fingerprint: bytes) -> None:
        """Remove the crashes of a request, since a target has just completed it."""
        self._copies.pop(fingerprint, None)
        if self._reports.pop(fingerprint, None) is None:
            return
        # Other hosts may repeat their reports.
        served_at = self._served_at_by_fingerprint
        served_at.pop(fingerprint, None)
        served_at[fingerprint] = self._environment.clock.wall()
        if len(served_at) > _MAX_FINGERPRINTS:
            served_at.pop(next(iter(served_at)))

    def dump(self) -> dict[str, Any]:
        """Return the crashed targets by fingerprint."""
        return {key.hex(): sorted(reports) for key, reports in self._reports.items()}

    def _receive(self, host: str, report: CrashReport) -> None:
        # Only what is new here, so that a repeated report is not flooded again.
        if report.service == _EARLIER_VERSIONS:
            self._flood_copy(report)
        elif self._record(report):
            self._notify(report, is_own=False)
            self._flood(report)

    def _notify(self, report: CrashReport, *, is_own: bool) -> None:
        for on_report in self._listeners:
            on_report(report, is_own)

    def _flood_copy(self, report: CrashReport) -> None:
        known = self._copies.get(report.fingerprint, {})
        if report.target in known or self._has_expired(report):
            return
        self._copies.setdefault(report.fingerprint, known)[report.target] = report
        if len(self._copies) > _MAX_REPEATED_FINGERPRINTS:
            self._copies.pop(next(iter(self._copies)))
        self._flood(report)

    def _has_expired(self, report: CrashReport) -> bool:
        return self._environment.clock.wall() - report.wall_s >= _REJECTION_PERIOD_S

    def _flood(self, report: CrashReport) -> None:
        topic = f'crash/{report.fingerprint.hex()}/{report.target}'
        self._network.flood(report, topic=topic, version=(report.wall_s,))

    def _record(self, report: CrashReport) -> bool:
        """Add a report; return whether it is a new one."""
        wall_s = self._environment.clock.wall()
        oldest_s = max(
            wall_s - _REJECTION_PERIOD_S,
            self._served_at_by_fingerprint.get(report.fingerprint, 0),
        )
        known = self._reports.get(report.fingerprint, {})
        if report.target in known or report.wall_s <= oldest_s:
            return False
        # The clock of another host may be ahead, which must not extend the rejection period.
        known[report.target] = replace(report, wall_s=min(report.wall_s, wall_s))
        self._reports.pop(report.fingerprint, None)
        self._reports[report.fingerprint] = known
        if len(self._reports) > _MAX_FINGERPRINTS:
            self._reports.pop(next(iter(self._reports)))
        return True

    def _recent_reports(self) -> Iterator[CrashReport]:
        """Yield the reports on the fingerprints that were reported last, the latest ones last.

        The copies follow, which hosts of this version only pass on.
        """
        recent = list(islice(reversed(self._reports), _MAX_REPEATED_FINGERPRINTS))
        for fingerprint in reversed(recent):
            if self.is_suspect(fingerprint):
                yield from self._reports[fingerprint].values()
        for copies in self._copies.values():
            yield from (copy for copy in copies.values() if not self._has_expired(copy))

    def _last_crash_wall_s(self, fingerprint: bytes) -> float:
        reports = self._reports.get(fingerprint)
        if reports is None:
            return 0
        last = max(report.wall_s for report in reports.values())
        if self._environment.clock.wall() - last >= _REJECTION_PERIOD_S:
            self._reports.pop(fingerprint)
            return 0
        return last
