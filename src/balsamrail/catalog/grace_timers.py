"""Grace periods by name."""

import asyncio
from collections.abc import Callable, Iterator


class GraceTimers:
    """Calls ``on_end`` for each name whose grace period has ended.

    The names whose period has not ended yet are those over which it iterates.
    """

    __slots__ = ('_on_end', '_timers_by_name')

    def __init__(self, *, on_end: Callable[[str], None]) -> None:
        self._on_end = on_end
        self._timers_by_name: dict[str, asyncio.TimerHandle] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._timers_by_name

    def __iter__(self) -> Iterator[str]:
        return iter(self._timers_by_name)

    def start(self, name: str, *, after_s: float) -> None:
        """Start the period of a name, which must not have one."""
        loop = asyncio.get_running_loop()
        self._timers_by_name[name] = loop.call_later(after_s, self._end, name)

    def restart_all(self, *, after_s: float) -> None:
        """Let all periods that have not ended start again."""
        for name in list(self._timers_by_name):
            self.cancel(name)
            self.start(name, after_s=after_s)

    def cancel(self, name: str) -> None:
        """End the period of a name without a call; it may have none."""
        timer = self._timers_by_name.pop(name, None)
        if timer is not None:
            timer.cancel()

    def _end(self, name: str) -> None:
        del self._timers_by_name[name]
        self._on_end(name)
