"""Open-loop callers, whose rates do not depend on the responses."""

import random
from collections.abc import Mapping, Sequence

from standins.load_play.event_queue import EventQueue
from standins.load_play.host import SimulatedHost, SimulatedRequest
from standins.load_play.load_statistics import LoadStatistics
from standins.load_play.site import RequestKind, Site, ZoneModel

# Exponent by which requests are skewed towards the first objects of a region.
_POPULARITY_SKEW = 0.2


class Callers:
    """Sends requests of all kinds from all zones and records their outcomes.

    A refused caller retries once, after the ``Retry-After`` time of the response.

    :param length_s: duration of the load in seconds.
    """

    __slots__ = (
        '_event_queue',
        '_hosts_by_zone',
        '_length_s',
        '_max_burst_factor',
        '_random',
        '_site',
        '_statistics',
        '_weight',
    )

    def __init__(
        self,
        *,
        site: Site,
        event_queue: EventQueue,
        statistics: LoadStatistics,
        random_source: random.Random,
        hosts_by_zone: Mapping[str, Sequence[SimulatedHost]],
        length_s: float,
    ) -> None:
        self._site = site
        self._event_queue = event_queue
        self._statistics = statistics
        self._random = random_source
        self._hosts_by_zone = hosts_by_zone
        self._length_s = length_s
        self._max_burst_factor = max((factor for *_, factor in site.bursts), default=1.0)
        self._weight = sum(zone.rate for zone in site.zones)

    def begin(self) -> None:
        """Schedule the first request of each zone and kind."""
        for zone in self._site.zones:
            for kind in self._site.kinds:
                self._schedule(zone, kind)

    def _schedule(self, zone: ZoneModel, kind: RequestKind) -> None:
        rate = kind.rate * zone.rate / self._weight * self._max_burst_factor
        self._event_queue.after(self._random.expovariate(rate), lambda: self._send(zone, kind))

    def _send(self, zone: ZoneModel, kind: RequestKind) -> None:
        now = self._event_queue.now
        if now >= self._length_s:
            return
        self._schedule(zone, kind)
        if self._random.random() * self._max_burst_factor < self._burst_factor(now):
            number = int(kind.objects * self._random.random() ** (1 + _POPULARITY_SKEW))
            self._send_attempt(
                zone, kind, f'{zone.region}/{kind.name}/{number}', now, is_first_attempt=True
            )

    def _send_attempt(
        self,
        zone: ZoneModel,
        kind: RequestKind,
        object_key: str,
        first_sent_at: float,
        *,
        is_first_attempt: bool,
    ) -> None:
        now = self._event_queue.now
        patience_s = first_sent_at + kind.patience_s - now

        def answered(outcome: str, retry_after_s: float) -> None:
            is_retried = (
                is_first_attempt and outcome == 'refused' and retry_after_s < patience_s / 3
            )
            if is_retried:
                self._event_queue.after(
                    retry_after_s,
                    lambda: self._send_attempt(
                        zone, kind, object_key, first_sent_at, is_first_attempt=False
                    ),
                )
            else:
                self._record(zone, kind, first_sent_at, outcome)

        host = self._random.choice(self._hosts_by_zone[zone.name])
        host.handle(
            SimulatedRequest(
                kind=kind,
                object_key=object_key,
                arrived_at=now,
                deadline=now + min(kind.timeout_s, patience_s),
                answered=answered,
            )
        )

    def _record(
        self, zone: ZoneModel, kind: RequestKind, first_sent_at: float, outcome: str
    ) -> None:
        earned = 0.0
        if outcome == 'done':
            is_within_aim = self._event_queue.now - first_sent_at <= kind.aim_s
            outcome = 'in_aim' if is_within_aim else 'late'
            earned = kind.worth if is_within_aim else kind.late_worth
        self._statistics.add(
            kind=kind.name,
            zone=zone.name,
            at=first_sent_at,
            owed=kind.worth,
            earned=earned,
            outcome=outcome,
        )

    def _burst_factor(self, now: float) -> float:
        return next(
            (factor for begin, end, factor in self._site.bursts if begin <= now < end), 1.0
        )
