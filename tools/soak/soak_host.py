"""An entry host in a separate process."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from tools.soak.fault_proxy import FaultProxy

ROOT = Path(__file__).resolve().parent.parent.parent
BOUNDS = {
    'contact_s': 3,
    'drain_s': 2,
    'config_apply_s': 2,
    'evacuate_s': 5,
    'stop_grace_s': 6,
    'retry_ratio': 0.2,
    'retry_slack': 58,
    'retry_window_s': 10,
    'cold_overage': 1.5,
    'cold_slack': 5,
    'lookup_ttl_s': 5,
    'max_shift': 0.15,
    'revoke_s': 3,
    'quota_window_s': 5,
    'quota_overage': 0.1,
    'quota_slack': 20,
}
MEMORY_MB = 100
_KB_IN_MB = 1_024
_NS_IN_S = 1e9
_KILL_S = 6.0
_POLL_S = 0.02


class SoakHost:
    """Starts, signals and stops a host process, which connects to the store through a proxy."""

    def __init__(
        self, *, name: str, zone: str, number: str, regions: dict[str, str], folder: Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.region = regions[zone]
        self.caller_address = f'{number}:8000'
        self.readiness_address = f'{number}:8001'
        self.lookup_address = f'{number}:8002'
        self.peer_address = f'{number}:8003'
        self.store_proxy = FaultProxy(target='')
        self.process: subprocess.Popen[bytes] | None = None
        self.is_ready = False
        self._regions = regions
        self._number = number
        self._settings = folder / f'{name}.json'
        self._log = folder / f'{name}.log'

    async def prepare(self, *, store_address: str, seeds: list[str]) -> None:
        """Start the proxy and write the settings."""
        self.store_proxy.target = store_address
        await self.store_proxy.start()
        document: dict[str, Any] = {
            'deployment': 'soak',
            'host': self.name,
            'region': self.region,
            'availability_zone': self.zone,
            'region_by_availability_zone': self._regions,
            'caller_address': self.caller_address,
            'readiness_address': self.readiness_address,
            'lookup_address': self.lookup_address,
            'peer_address': self.peer_address,
            'operator_address': f'{self._number}:8004',
            'seeds': seeds,
            'store': {'address': self.store_proxy.address, 'timeout_s': 1.5},
            'bounds': BOUNDS,
            'memory_mb': MEMORY_MB,
            'limits': {'heartbeat_s': 0.5, 'suspect_after_s': 1.5, 'gone_after_s': 0.5},
        }
        self._settings.write_text(json.dumps(document))

    def start(self) -> None:
        """Start the process and append its output to the log."""
        self.is_ready = False
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'balsamrail.entry', str(self._settings)],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, 'PYTHONPATH': f'{ROOT / "src"}'},
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def peak_memory_mb(self) -> float:
        """Return the peak resident memory of the process."""
        found = re.search(r'^VmHWM:\s+(\d+) kB', self._proc('status'), re.MULTILINE)
        return int(found[1]) / _KB_IN_MB if found else 0

    def waited_s(self) -> float:
        """Return how long the process was runnable without a processor core."""
        return int(self._proc('schedstat').split()[1]) / _NS_IN_S

    def _proc(self, name: str) -> str:
        return Path(f'/proc/{self.process.pid}/{name}').read_text()

    async def wait(self, limit_s: float) -> int | None:
        """Return the exit code, or ``None`` if the process did not exit in time."""
        loop = asyncio.get_running_loop()
        while self.process is not None and self.process.poll() is None:
            if limit_s <= 0:
                return None
            begin = loop.time()
            await asyncio.sleep(_POLL_S)
            # If the whole machine stalls, the host could not run either, so long gaps are capped.
            limit_s -= min(loop.time() - begin, 10 * _POLL_S)
        return self.process.returncode if self.process is not None else 0

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        await self.wait(_KILL_S)

    def end(self) -> None:
        """Kill the process and close the proxy."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.store_proxy.stop()
