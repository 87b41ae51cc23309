"""The planned stop of a host."""

import asyncio
from collections.abc import Callable

from balsamrail.environment import Environment
from balsamrail.errors import NotReadyError, StoreError
from balsamrail.host.parts import Parts
from balsamrail.store import ListedHost

_CHECK_S = 0.05
_MARGIN_S = 1
_GIVING_S = 1
_FLUSH_S = 0.1
_MS_IN_S = 1_000
_DEFAULT_DEADLINE_S = 10


class PlannedStop:
    """Takes a host out of service without cutting off a request.

    1. Announce *leaving* to the peers and the platform, so that no new look-up names the host.
    2. Keep serving for the look-up time to live, since callers still hold older answers.
    3. Refuse new requests and wait until nothing is in flight, at most the longest deadline.
    4. Give the shares away and say *gone*, so that nobody waits for this host.
    """

    __slots__ = ('_environment', '_in_flight', '_parts')

    def __init__(
        self, *, environment: Environment, parts: Parts, in_flight: Callable[[], int]
    ) -> None:
        self._environment = environment
        self._parts = parts
        self._in_flight = in_flight

    async def run(self) -> int:
        """Carry out the stop and return how many requests were still in flight at its end."""
        limits = self._environment.settings.limits
        self._environment.log.event('stop_started', in_flight=self._in_flight())
        self._parts.members.announce_leaving()
        await asyncio.gather(self._announce(), asyncio.sleep(limits.lookup_ttl_s))
        self._parts.forwarder.refuse_new()
        left = await self._wait_for_requests()
        self._environment.log.event('stop_drained', in_flight=left)
        await self._finish()
        return left

    async def _finish(self) -> None:
        try:
            async with asyncio.timeout(_GIVING_S):
                await self._parts.hand_over_shares()
        except TimeoutError:
            self._environment.log.event('stop_shares_kept', reason='the peers did not answer')
        self._parts.members.announce_stopped()
        # The streams write the last messages while this task sleeps.
        await asyncio.sleep(_FLUSH_S)

    async def _wait_for_requests(self) -> int:
        end = self._environment.clock.monotonic() + self._longest_deadline_s() + _MARGIN_S
        left = self._in_flight()
        while left and self._environment.clock.monotonic() < end:
            await asyncio.sleep(_CHECK_S)
            left = self._in_flight()
        return left

    async def _announce(self) -> None:
        own = self._parts.members.local_member()
        entry = ListedHost(host=own.host, address=own.peer_address, state='leaving')
        try:
            await self._parts.store.announce_host(entry)
        except StoreError as error:
            self._environment.log.event('stop_not_listed', reason=error)

    def _longest_deadline_s(self) -> float:
        try:
            services = self._parts.tracker.accepted().services
        except NotReadyError:
            return _DEFAULT_DEADLINE_S
        return max(service.deadline_ms for service in services.values()) / _MS_IN_S
