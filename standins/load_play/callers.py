"""Callers that send at their own rate, whatever the answers are."""

import random
from collections.abc import Mapping, Sequence

from standins.load_play.agenda import Agenda
from standins.load_play.host import PlayedHost, PlayedRequest
from standins.load_play.site import KindSize, Site, ZoneSize
from standins.load_play.tally import Tally

# How much more often a region's first objects are asked for than its last ones.
_SKEW = 0.2


class Callers:
    """Sends requests of all kinds from all zones and counts what became of them.

    A caller that is refused comes back once, after the time that it was told.

    :param length_s: for how long requests are sent, in seconds.
    """

    __slots__ = (
        '_agenda',
        '_hosts_by_zone',
        '_length_s',
        '_most_factor',
        '_random',
        '_site',
        '_tally',
        '_weight',
    )

    def __init__(
        self,
        *,
        site: Site,
        agenda: Agenda,
        tally: Tally,
        random_source: random.Random,
        hosts_by_zone: Mapping[str, Sequence[PlayedHost]],
        length_s: float,
    ) -> None:
        self._site = site
        self._agenda = agenda
        self._tally = tally
        self._random = random_source
        self._hosts_by_zone = hosts_by_zone
        self._length_s = length_s
        self._most_factor = max((factor for *_, factor in site.bursts), default=1.0)
        self._weight = sum(zone.rate for zone in site.zones)

    def begin(self) -> None:
        """Start all callers."""
        for zone in self._site.zones:
            for kind in self._site.kinds:
                self._plan(zone, kind)

    def _plan(self, zone: ZoneSize, kind: KindSize) -> None:
        rate = kind.rate * zone.rate / self._weight * self._most_factor
        self._agenda.after(self._random.expovariate(rate), lambda: self._send(zone, kind))

    def _send(self, zone: ZoneSize, kind: KindSize) -> None:
        now = self._agenda.now
        if now >= self._length_s:
            return
        self._plan(zone, kind)
        if self._random.random() * self._most_factor < self._factor(now):
            number = int(kind.objects * self._random.random() ** (1 + _SKEW))
            self._ask(zone, kind, f'{zone.region}/{kind.name}/{number}', now, is_first=True)

    def _ask(
        self, zone: ZoneSize, kind: KindSize, object_key: str, first_at: float, *, is_first: bool
    ) -> None:
        now = self._agenda.now
        patience_s = first_at + kind.patience_s - now

        def answered(outcome: str, retry_after_s: float) -> None:
            is_back = is_first and outcome == 'refused' and retry_after_s < patience_s / 3
            if is_back:
                self._agenda.after(
                    retry_after_s,
                    lambda: self._ask(zone, kind, object_key, first_at, is_first=False),
                )
            else:
                self._count(zone, kind, first_at, outcome)

        host = self._random.choice(self._hosts_by_zone[zone.name])
        host.handle(
            PlayedRequest(
                kind=kind,
                object_key=object_key,
                deadline=now + min(kind.timeout_s, patience_s),
                answered=answered,
            )
        )

    def _count(self, zone: ZoneSize, kind: KindSize, first_at: float, outcome: str) -> None:
        earned = 0.0
        if outcome == 'done':
            is_in_aim = self._agenda.now - first_at <= kind.aim_s
            outcome = 'in_aim' if is_in_aim else 'late'
            earned = kind.worth if is_in_aim else kind.late_worth
        self._tally.add(
            kind=kind.name,
            zone=zone.name,
            at=first_at,
            owed=kind.worth,
            earned=earned,
            outcome=outcome,
        )

    def _factor(self, now: float) -> float:
        return next(
            (factor for begin, end, factor in self._site.bursts if begin <= now < end), 1.0
        )
