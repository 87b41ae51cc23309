"""Monitors host memory, and the time hosts and this process wait for a processor core."""

import asyncio

from tools.soak.deployment import Deployment
from tools.soak.history import WAITS_PERIOD_S
from tools.soak.soak_host import MEMORY_MB


class HostWatch:
    """Records a fault for each host that uses more memory than its settings allow."""

    def __init__(self, *, deployment: Deployment) -> None:
        self.peak_mb_by_host: dict[str, float] = {}
        self._deployment = deployment
        self._history = deployment.history
        self._waited_s_by_host: dict[str, float] = {}

    async def run(self) -> None:
        """Monitor until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + WAITS_PERIOD_S
            await asyncio.sleep(WAITS_PERIOD_S)
            self._history.waits.append(('', loop.time(), loop.time() - due_at))
            for host in self._deployment.hosts:
                if host.is_running():
                    self._record(host.name, host.peak_memory_mb(), host.waited_s(), loop.time())

    def _record(self, host: str, peak_mb: float, waited_s: float, now: float) -> None:
        before_mb = self.peak_mb_by_host.get(host, 0)
        if before_mb <= MEMORY_MB < peak_mb:
            fault = f'ENDLESS {host} held {peak_mb:.0f} MB, allowed are {MEMORY_MB}'
            self._deployment.faults.append(fault)
        self.peak_mb_by_host[host] = max(before_mb, peak_mb)
        before_s = self._waited_s_by_host.get(host, waited_s)
        self._waited_s_by_host[host] = waited_s
        # The counter restarts with the process, so the difference can be negative.
        self._history.waits.append((host, now, max(0, waited_s - before_s)))
