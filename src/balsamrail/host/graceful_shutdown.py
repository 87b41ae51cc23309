"""Graceful shutdown of a host."""

import asyncio
from collections.abc import Callable

from balsamrail.environment import Environment
from balsamrail.errors import NotReadyError, StoreError
from balsamrail.host.parts import Parts
from balsamrail.store import ListedHost

_DRAIN_POLL_INTERVAL_S = 0.05
_DRAIN_MARGIN_S = 1
_SHARE_TRANSFER_TIMEOUT_S = 1
_STREAM_FLUSH_S = 0.1
_MS_IN_S = 1_000
_DEFAULT_DEADLINE_S = 10


class GracefulShutdown:
    """Takes a host out of service without interrupting requests in flight.

    1. Announces *leaving* to the peers and the platform, so that new lookup responses exclude the
       host.
    2. Keeps serving for the lookup TTL, because callers may still use cached lookup responses.
    3. Rejects new requests and waits for the requests in flight, for at most the longest deadline.
    4. Transfers the shares to peers and announces *gone*, so that no peer waits for this host.
    """

    __slots__ = ('_environment', '_in_flight', '_parts')

    def __init__(
        self, *, environment: Environment, parts: Parts, in_flight: Callable[[], int]
    ) -> None:
        self._environment = environment
        self._parts = parts
        self._in_flight = in_flight

    async def run(self) -> int:
        """Shut down and return the number of requests that were still in flight at the end."""
        limits = self._environment.settings.limits
        self._environment.log.event('stop_started', in_flight=self._in_flight())
        self._parts.members.announce_leaving()
        await asyncio.gather(self._announce(), asyncio.sleep(limits.lookup_ttl_s))
        self._parts.forwarder.reject_new_requests()
        remaining = await self._drain_requests()
        self._environment.log.event('stop_drained', in_flight=remaining)
        await self._finish()
        return remaining

    async def _finish(self) -> None:
        try:
            async with asyncio.timeout(_SHARE_TRANSFER_TIMEOUT_S):
                await self._parts.hand_over_shares()
        except TimeoutError:
            self._environment.log.event(
                'stop_shares_kept', reason='the peers did not respond in time'
            )
        self._parts.members.announce_stopped()
        # Gives the peer streams time to write the last messages.
        await asyncio.sleep(_STREAM_FLUSH_S)

    async def _drain_requests(self) -> int:
        end = self._environment.clock.monotonic() + self._longest_deadline_s() + _DRAIN_MARGIN_S
        remaining = self._in_flight()
        while remaining and self._environment.clock.monotonic() < end:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
            remaining = self._in_flight()
        return remaining

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
