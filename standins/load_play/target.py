"""A target with slots, a queue and objects that it remembers."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from balsamrail.placement.reported_load import ReportedLoad
from standins.load_play.agenda import Agenda
from standins.load_play.site import ServiceSize

# A known object takes this part of the work.
_KNOWN_PART = 0.3
_QUEUE_FOR_SLOT = 3
_SPREAD = 0.15


@dataclass(slots=True, kw_only=True)
class Work:
    """A request at a target.

    :param ended: called with whether the target ran it.
    """

    object_key: str
    work_s: float
    expires_at: float
    ended: Callable[[bool], None]


class PlayedTarget:
    """Runs as many requests at once as it has slots and refuses what its queue cannot hold."""

    __slots__ = (
        '_agenda',
        '_known',
        '_random',
        '_running',
        '_size',
        '_waiting',
        'factor',
        'is_up',
        'losing',
        'refusing',
        'runs',
        'target_id',
    )

    def __init__(
        self, *, target_id: str, size: ServiceSize, agenda: Agenda, random_source: random.Random
    ) -> None:
        self.target_id = target_id
        self.is_up = True
        self.factor = 1.0
        self.refusing = 0.0
        self.losing = 0.0
        self.runs = {'known': 0, 'new': 0}
        self._size = size
        self._agenda = agenda
        self._random = random_source
        self._known: OrderedDict[str, None] = OrderedDict()
        self._running = 0
        self._waiting: deque[Work] = deque()

    def take(self, work: Work) -> bool:
        """Run a request or let it wait; return whether it was taken."""
        if not self.is_up or self._random.random() < self.refusing:
            return False
        if self._running < self._size.slots:
            self._begin(work)
        elif len(self._waiting) < self._size.slots * _QUEUE_FOR_SLOT:
            self._waiting.append(work)
        else:
            return False
        return True

    def load(self) -> ReportedLoad:
        """Return what the target tells in its answers."""
        return ReportedLoad(
            running=self._running, waiting=len(self._waiting), slots=self._size.slots
        )

    def crash(self) -> None:
        """Forget all objects; what runs gets no answer."""
        self.is_up = False
        self._known.clear()
        self._waiting.clear()

    def _begin(self, work: Work) -> None:
        self._running += 1
        is_known = work.object_key in self._known
        self.runs['known' if is_known else 'new'] += 1
        self._known[work.object_key] = None
        self._known.move_to_end(work.object_key)
        if len(self._known) > self._size.kept_objects:
            self._known.popitem(last=False)
        part = _KNOWN_PART if is_known else 1
        took_s = work.work_s * part * self.factor * self._random.lognormvariate(0, _SPREAD)
        self._agenda.after(took_s, lambda: self._end(work))

    def _end(self, work: Work) -> None:
        self._running -= 1
        is_answered = self.is_up and self._random.random() >= self.losing
        if self._agenda.now <= work.expires_at and is_answered:
            work.ended(True)
        while self._waiting and self._running < self._size.slots:
            following = self._waiting.popleft()
            if following.expires_at > self._agenda.now:
                self._begin(following)
            else:
                following.ended(False)
