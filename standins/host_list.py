"""The platform's list of hosts, which lags."""

import asyncio
from typing import Any

_HISTORY_S = 3_600


class HostList:
    """Keeps the history of each entry, so that the list can be shown as it was a while ago."""

    __slots__ = ('_history_by_host',)

    def __init__(self) -> None:
        self._history_by_host: dict[str, list[tuple[float, dict[str, Any] | None]]] = {}

    def put(self, host: str, entry: dict[str, Any] | None) -> None:
        """Set the entry of ``host`` from now on; ``None`` removes it."""
        now = asyncio.get_running_loop().time()
        history = self._history_by_host.setdefault(host, [])
        history.append((now, entry))
        while len(history) > 1 and history[1][0] < now - _HISTORY_S:
            history.pop(0)

    def listed(self, *, lag_s: float) -> list[dict[str, Any]]:
        """Return the list as it was ``lag_s`` seconds ago."""
        instant = asyncio.get_running_loop().time() - lag_s
        listed = []
        for host, history in sorted(self._history_by_host.items()):
            past = [entry for since, entry in history if since <= instant]
            if past and past[-1] is not None:
                listed.append({'host': host, **past[-1]})
        return listed
