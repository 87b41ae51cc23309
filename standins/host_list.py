"""The host list of the platform, which can be served with a delay."""

import asyncio
from typing import Any

_HISTORY_S = 3_600


class HostList:
    """Stores the history of each entry, so that an earlier list can be served."""

    __slots__ = ('_history_by_host',)

    def __init__(self) -> None:
        self._history_by_host: dict[str, list[tuple[float, dict[str, Any] | None]]] = {}

    def put(self, host: str, entry: dict[str, Any] | None) -> None:
        """Set the entry of ``host``; ``None`` removes it."""
        now = asyncio.get_running_loop().time()
        history = self._history_by_host.setdefault(host, [])
        history.append((now, entry))
        while len(history) > 1 and history[1][0] < now - _HISTORY_S:
            history.pop(0)

    def copy(self) -> dict[str, dict[str, Any] | None]:
        """Return a copy of the current entries."""
        return {host: history[-1][1] for host, history in self._history_by_host.items()}

    def restore(self, entry_by_host: dict[str, dict[str, Any] | None]) -> None:
        """Set all entries to those of a copy."""
        for host in list(self._history_by_host):
            self.put(host, entry_by_host.get(host))

    def snapshot(self, *, lag_s: float) -> list[dict[str, Any]]:
        """Return the list as of ``lag_s`` seconds ago."""
        instant = asyncio.get_running_loop().time() - lag_s
        snapshot = []
        for host, history in sorted(self._history_by_host.items()):
            past = [entry for since, entry in history if since <= instant]
            if past and past[-1] is not None:
                snapshot.append({'host': host, **past[-1]})
        return snapshot
