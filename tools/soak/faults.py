"""Randomized faults of a run, derived from its seed; they occur in series and overlap."""

import asyncio
import contextlib
import functools
import random
import signal
from collections.abc import Awaitable, Callable, Iterator

from tools.soak.deployment import Deployment
from tools.soak.history import Span
from tools.soak.soak_host import SoakHost
from tools.soak.target_faults import TargetFaults

# A host exits within its stop grace period of 6 s after SIGTERM.
_GRACE_S = 6.0
_PAUSE_S = (0.2, 1.5)
# How often the loss of all targets is drawn, relative to each other fault.
_CUT_WEIGHT = 4
# How often the replacement of a key is drawn.
_KEY_WEIGHT = 4


def _on_a_host(
    fault: Callable[['Faults', SoakHost], Awaitable[None]],
) -> Callable[['Faults'], Awaitable[None]]:
    """Apply a fault to a host without other active faults; skip it if there is none."""

    @functools.wraps(fault)
    async def on_a_host(self: 'Faults') -> None:
        host = self.free_host()
        if host is not None:
            await fault(self, host)

    return on_a_host


class Faults:
    """Injects faults for a given time and then waits until all of them have ended.

    :param behaviours: additional kinds of faults from :data:`tools.soak.behaviours.BEHAVIOURS`.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        random_source: random.Random,
        behaviours: frozenset[str] = frozenset(),
    ) -> None:
        targets = TargetFaults(deployment=deployment, random_source=random_source)
        self._deployment = deployment
        self._history = deployment.history
        self._random = random_source
        self.injected: list[str] = []
        self._kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill,
            self._pause,
            self._planned_stop,
            self._planned_stop,
            self._stop_while_paused,
            self._reload,
            self._store_mode,
            self._store_loses,
            self._store_forgets,
            self._host_loses_store,
            *targets.kinds(behaviours),
            self._manifest_changes,
            self._zone_is_evacuated,
            *((self._rolling_stops, self._reloads_in_series) if 'series' in behaviours else ()),
            *((self._signal_at_start,) if 'early' in behaviours else ()),
            *((self._host_loses_targets,) * _CUT_WEIGHT if 'cut' in behaviours else ()),
            *((self._key_is_replaced,) * _KEY_WEIGHT if 'customers' in behaviours else ()),
        )

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds`` and wait until all of them have ended."""
        end = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end:
                fault = self._random.choice(self._kinds)
                self.injected.append(fault.__name__.strip('_'))
                group.create_task(fault())
                await asyncio.sleep(self._random.uniform(*_PAUSE_S))

    @contextlib.contextmanager
    def _recorded(self, spans: list[Span], kind: str, name: str = '') -> Iterator[None]:
        span = Span(kind=kind, host=name, begin=asyncio.get_running_loop().time())
        spans.append(span)
        try:
            yield
        finally:
            span.end = asyncio.get_running_loop().time()

    async def _sleep(self, least_s: float, most_s: float) -> None:
        await asyncio.sleep(self._random.uniform(least_s, most_s))

    def free_host(self) -> SoakHost | None:
        """Return a host without active faults; at least one host always remains undisturbed."""
        free = [host for host in self._deployment.hosts if host.name not in self._busy()]
        return self._random.choice(free) if len(free) > 1 else None

    def _busy(self) -> set[str]:
        return {span.host for span in self._history.spans if span.end == float('inf')} | {
            stop.host for stop in self._history.stops if stop.end == float('inf')
        }

    @_on_a_host
    async def _kill(self, host: SoakHost) -> None:
        with self._recorded(self._history.spans, 'kill', host.name):
            await host.kill()
            await self._sleep(0, 2)
            await self._start(host)

    @_on_a_host
    async def _pause(self, host: SoakHost) -> None:
        with self._recorded(self._history.spans, 'pause', host.name):
            host.signal(signal.SIGSTOP)
            await self._sleep(0.2, 5)
            host.signal(signal.SIGCONT)

    @_on_a_host
    async def _planned_stop(self, host: SoakHost) -> None:
        with self._recorded(self._history.stops, 'stop', host.name):
            host.signal(signal.SIGTERM)
            if self._random.random() < 0.3:
                # A host may receive several signals in a row.
                await self._sleep(0, 0.5)
                host.signal(self._random.choice((signal.SIGHUP, signal.SIGTERM)))
            await self._expect_end(host)
        with self._recorded(self._history.spans, 'start', host.name):
            await self._sleep(0, 1)
            await self._start(host)

    @_on_a_host
    async def _stop_while_paused(self, host: SoakHost) -> None:
        with self._recorded(self._history.spans, 'stop while paused', host.name):
            host.signal(signal.SIGSTOP)
            await self._sleep(0.1, 1)
            host.signal(signal.SIGTERM)
            await self._sleep(0.1, 1)
            host.signal(signal.SIGCONT)
            await self._expect_end(host)
            await self._start(host)

    async def _expect_end(self, host: SoakHost) -> None:
        code = await host.wait(_GRACE_S)
        if code != 0:
            self._deployment.faults.append(f'{host.name} ended with {code} after SIGTERM')
            await host.kill()

    async def _start(self, host: SoakHost) -> None:
        host.start()
        await self._deployment.wait_until_ready(host)

    @_on_a_host
    async def _signal_at_start(self, host: SoakHost) -> None:
        """Send SIGHUP to a host that has not finished its start."""
        with self._recorded(self._history.spans, 'kill', host.name):
            await host.kill()
            host.start()
            await self._sleep(0.05, 1)
            host.signal(signal.SIGHUP)
            await self._deployment.wait_until_ready(host)

    async def _rolling_stops(self) -> None:
        """Stop hosts one after the other, each before the previous one is ready again."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self._random.randint(2, 3)):
                group.create_task(self._planned_stop())
                await self._sleep(0.1, 1.5)

    async def _reloads_in_series(self) -> None:
        """Change manifests and send SIGHUP to all ready hosts several times."""
        for _ in range(self._random.randint(2, 6)):
            for host in self._deployment.hosts:
                if host.is_ready:
                    host.signal(signal.SIGHUP)
            if self._random.random() < 0.5:
                await self._manifest_changes()
            await self._sleep(0, 0.4)

    @_on_a_host
    async def _reload(self, host: SoakHost) -> None:
        host.signal(signal.SIGHUP)

    async def _store_mode(self) -> None:
        with self._recorded(self._history.spans, 'store'):
            self._deployment.store.mode = self._random.choice(('busy', 'reset', 'silent'))
            await self._sleep(0.5, 6)
            self._deployment.store.mode = 'up'

    async def _store_loses(self) -> None:
        with self._recorded(self._history.spans, 'store loses answers'):
            self._deployment.store.losing = True
            await self._sleep(0.5, 3)
            self._deployment.store.losing = False

    async def _store_forgets(self) -> None:
        with self._recorded(self._history.spans, 'store forgets'):
            self._deployment.store.forget()
            await self._sleep(0, 0.5)

    @_on_a_host
    async def _host_loses_store(self, host: SoakHost) -> None:
        proxy = host.store_proxy
        with self._recorded(self._history.spans, 'store proxy', host.name):
            match self._random.randrange(5):
                case 0:
                    proxy.reset()
                case 1:
                    proxy.silence()
                case 2:
                    proxy.cut = {self._random.choice(('up', 'down'))}
                case 3:
                    proxy.is_refusing = True
                    proxy.reset()
                case 4:
                    proxy.delay_s = 0.3
            await self._sleep(0.2, 5)
            proxy.cut, proxy.is_refusing, proxy.delay_s = set(), False, 0.0

    @_on_a_host
    async def _host_loses_targets(self, host: SoakHost) -> None:
        """Refuse a host's new connections to all targets, and reset the open ones or let them live."""
        pid = host.process.pid
        proxies = [target.proxy for target in self._deployment.targets]
        keeps_open = self._random.random() < 0.5
        with self._recorded(self._history.spans, 'cut from targets', host.name):
            for proxy in proxies:
                proxy.refused_pids[pid] += 1
                if not keeps_open:
                    proxy.reset_of(pid)
            await self._sleep(1, 7)
            for proxy in proxies:
                proxy.refused_pids[pid] -= 1

    async def _manifest_changes(self) -> None:
        self._deployment.change_manifest(self._random.choice(('reads', 'others')))

    async def _key_is_replaced(self) -> None:
        """Replace a key; half of the times hosts cannot hear of it for longer than they may use it."""
        name = self._random.choice(self._deployment.customers.names)
        if self._random.random() < 0.5:
            self._deployment.replace_key(name)
            return
        with self._recorded(self._history.spans, 'store'):
            self._deployment.store.mode = self._random.choice(('busy', 'reset', 'silent'))
            self._deployment.replace_key(name)
            await self._sleep(4, 6)
            self._deployment.store.mode = 'up'

    async def _zone_is_evacuated(self) -> None:
        zone = self._random.choice(sorted(self._deployment.zones))
        if any(span.end == float('inf') for span in self._history.evacuated):
            return
        with self._recorded(self._history.evacuated, 'evacuation', zone):
            self._deployment.store.put('evacuations', zone, {})
            await self._sleep(1, 8)
            self._deployment.store.remove('evacuations', zone)
