"""Health probes of the targets in this host's region."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.messages import TargetLeaving
from balsamrail.steering.collaborators import MemberView
from balsamrail.steering.target_state import TargetState

_TIMEOUT_S = 2.0
_FAILED_PROBES_TO_EXCLUDE = 2
# A target that never reports that it is live again must not be excluded forever.
_LEAVING_TTL_S = 60.0
_LIVE_PROBES_TO_RECOVER = 2
_MIN_TIMESTAMP_STEP_S = 0.001


class TargetProber:
    """Probes targets with ``GET /health``, in rotation with the other hosts of the region.

    Health reports may be outdated or wrong. They can exclude a target (``leaving``,
    ``starting``), but cannot end an ejection, which only expires.

    :param states: returns the service and the state of each target of a region.
    """

    __slots__ = (
        '_environment',
        '_fetch',
        '_live_count_by_target',
        '_members',
        '_network',
        '_states',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        members: MemberView,
        network: Network,
        states: Callable[[str | None], list[tuple[str, TargetState]]],
        fetch: Callable[[str], Any] | None = None,
    ) -> None:
        self._environment = environment
        self._members = members
        self._network = network
        self._states = states
        self._fetch = fetch or _fetch_health
        self._live_count_by_target: dict[tuple[str, str], int] = {}
        network.subscribe(TargetLeaving, self._on_leaving)

    async def run(self) -> None:
        """Probe this host's part of the targets in each round until cancelled."""
        probe_s = self._environment.settings.limits.probe_s
        clock = self._environment.clock
        async with asyncio.TaskGroup() as tasks:
            while True:
                round_number = int(clock.wall() / probe_s)
                due = self._due_targets(round_number=round_number)
                for service, state in due:
                    tasks.create_task(self.probe(service, state))
                    await asyncio.sleep(probe_s / (len(due) + 1))
                await asyncio.sleep(max(0.01, (round_number + 1) * probe_s - clock.wall()))

    async def probe(self, service: str, state: TargetState) -> None:
        """Probe one target and record its report."""
        self._environment.metrics.count('probes')
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                health = await self._fetch(state.address)
            health_state = str(health['state'])
            in_flight = int(health['in_flight'])
        except Exception:
            # Any response that is not a valid report counts as a failed probe.
            state.failed_probes += 1
            state.ready = state.failed_probes < _FAILED_PROBES_TO_EXCLUDE
            return
        now = self._environment.clock.monotonic()
        if not state.ready:
            state.since = now
        state.failed_probes = 0
        state.ready = health_state != 'starting'
        state.report(in_flight=in_flight, now=now)
        self._update_leaving(service, state, health_state=health_state)

    def _due_targets(self, *, round_number: int) -> list[tuple[str, TargetState]]:
        own = self._members.local_member()
        hosts = sorted(
            member.host for member in self._members.alive() if member.region == own.region
        )
        if own.host not in hosts:
            return []
        position = hosts.index(own.host)
        states = self._states(own.region)
        return [
            entry
            for index, entry in enumerate(states)
            if (index + round_number) % len(hosts) == position
        ]

    def _update_leaving(self, service: str, state: TargetState, *, health_state: str) -> None:
        target = (service, state.address)
        if health_state == 'leaving':
            self._live_count_by_target.pop(target, None)
            self._flood_leaving(service, state, leaving=True)
            return
        if not state.leaving:
            return
        # A single live report may be outdated; two in a row end the exclusion.
        live_reports = self._live_count_by_target.get(target, 0) + 1
        self._live_count_by_target[target] = live_reports
        if live_reports >= _LIVE_PROBES_TO_RECOVER:
            self._live_count_by_target.pop(target)
            self._flood_leaving(service, state, leaving=False)

    def _flood_leaving(self, service: str, state: TargetState, *, leaving: bool) -> None:
        # The timestamp must exceed that of the last report even if its sender has a faster clock.
        wall_s = max(self._environment.clock.wall(), state.leaving_wall_s + _MIN_TIMESTAMP_STEP_S)
        message = TargetLeaving(
            service=service, address=state.address, leaving=leaving, wall_s=wall_s
        )
        self._on_leaving(self._environment.settings.host, message)
        self._network.flood(message, topic=f'leaving/{service}/{state.address}', version=(wall_s,))

    def _on_leaving(self, host: str, message: TargetLeaving) -> None:
        now = self._environment.clock.monotonic()
        for service, state in self._states(None):
            if service != message.service or state.address != message.address:
                continue
            if message.wall_s <= state.leaving_wall_s:
                continue
            if state.leaving and not message.leaving:
                state.since = now
            state.leaving = message.leaving
            state.leaving_wall_s = message.wall_s
            state.leaving_until = now + _LEAVING_TTL_S


class _FetchFailedError(Exception):
    """The target did not return a health report."""


async def _fetch_health(address: str) -> Any:
    request = HTTPRequest(
        f'http://{address}/health',
        connect_timeout=_TIMEOUT_S,
        request_timeout=_TIMEOUT_S,
        follow_redirects=False,
    )
    response = await AsyncHTTPClient().fetch(request, raise_error=False)
    if response.error is not None:
        raise _FetchFailedError(str(response.error))
    return json.loads(response.body)
