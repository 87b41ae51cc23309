"""A simulated target with slots, a queue and a cache of objects."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from balsamrail.placement.reported_load import ReportedLoad
from standins.load_play.event_queue import EventQueue
from standins.load_play.site import ServiceModel, Site

# Service time of a request for a cached object, as a fraction of that for a new one.
_CACHED_WORK_FRACTION = 0.3
_QUEUED_PER_SLOT = 3
_WORK_SIGMA = 0.15
_LONG_RUN_FACTOR = 7
# A shared machine makes a target slower for moments of this mean length.
_SLOW_FACTOR = 2.5
_SLOW_MOMENT_S = 0.6


@dataclass(slots=True, kw_only=True)
class Work:
    """A request at a target.

    :param ended: called with whether the target executed it.
    """

    object_key: str
    work_s: float
    expires_at: float
    ended: Callable[[bool], None]


class SimulatedTarget:
    """Executes as many concurrent requests as it has slots and refuses those beyond its queue."""

    __slots__ = (
        '_cached',
        '_event_queue',
        '_moment_ends_at',
        '_random',
        '_running',
        '_site',
        '_size',
        '_slowdown',
        '_waiting',
        'factor',
        'is_up',
        'losing',
        'refusing',
        'runs',
        'target_id',
    )

    def __init__(
        self,
        *,
        target_id: str,
        size: ServiceModel,
        site: Site,
        event_queue: EventQueue,
        random_source: random.Random,
    ) -> None:
        self.target_id = target_id
        self.is_up = True
        self.factor = 1.0
        self.refusing = 0.0
        self.losing = 0.0
        self.runs = {'known': 0, 'new': 0}
        self._size = size
        self._site = site
        self._slowdown = 1.0
        self._moment_ends_at = 0.0
        self._event_queue = event_queue
        self._random = random_source
        self._cached: OrderedDict[str, None] = OrderedDict()
        self._running = 0
        self._waiting: deque[Work] = deque()

    def take(self, work: Work) -> bool:
        """Execute or enqueue a request; return whether it was accepted."""
        if not self.is_up or self._random.random() < self.refusing:
            return False
        if self._running < self._size.slots:
            self._begin(work)
        elif len(self._waiting) < self._size.slots * _QUEUED_PER_SLOT:
            self._waiting.append(work)
        else:
            return False
        return True

    def load(self) -> ReportedLoad:
        """Return the load that the target reports in its responses."""
        return ReportedLoad(
            running=self._running,
            waiting=len(self._waiting),
            slots=self._size.slots,
            slowdown=self._slowdown_now(),
        )

    def crash(self) -> None:
        """Clear the cache and the queue; running requests get no response."""
        self.is_up = False
        self._cached.clear()
        self._waiting.clear()

    def _slowdown_now(self) -> float:
        slow = self._site.slow_fraction
        while slow and self._moment_ends_at <= self._event_queue.now:
            is_slow = self._slowdown == 1
            self._slowdown = _SLOW_FACTOR if is_slow else 1.0
            mean_s = _SLOW_MOMENT_S if is_slow else _SLOW_MOMENT_S * (1 - slow) / slow
            self._moment_ends_at += self._random.expovariate(1 / mean_s)
        return self._slowdown

    def _begin(self, work: Work) -> None:
        self._running += 1
        is_cached = work.object_key in self._cached
        self.runs['known' if is_cached else 'new'] += 1
        self._cached[work.object_key] = None
        self._cached.move_to_end(work.object_key)
        if len(self._cached) > self._size.cache_size:
            self._cached.popitem(last=False)
        part = _CACHED_WORK_FRACTION if is_cached else 1
        if self._site.long_run_fraction and self._random.random() < self._site.long_run_fraction:
            part *= _LONG_RUN_FACTOR
        part *= self._slowdown_now()
        took_s = work.work_s * part * self.factor * self._random.lognormvariate(0, _WORK_SIGMA)
        self._event_queue.after(took_s, lambda: self._end(work))

    def _end(self, work: Work) -> None:
        self._running -= 1
        is_answered = self.is_up and self._random.random() >= self.losing
        if self._event_queue.now <= work.expires_at and is_answered:
            work.ended(True)
        while self._waiting and self._running < self._size.slots:
            following = self._waiting.popleft()
            if following.expires_at > self._event_queue.now:
                self._begin(following)
            else:
                following.ended(False)
