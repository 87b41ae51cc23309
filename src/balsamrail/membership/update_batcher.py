"""Batches of the member updates that are sent on a link."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.peer_link import PeerLink
from balsamrail.messages import MemberUpdate, Message, pack_updates

_INTERVAL_S = 0.05
# Bounds the time for which compressing a batch blocks the event loop, to about a millisecond.
_MAX_UPDATES = 256


class UpdateBatcher:
    """Sends the member updates of a short interval as one message.

    Updates come in bursts, since many hosts start, fail or return at the same time, and each is
    sent on several links. Updates after a quiet interval are sent together when the tasks that
    add them pause, and those that follow wait for the end of the next interval. Of several updates
    with the same subject, only the last one is sent::

        batcher.add(link, first)
        batcher.add(link, second)
        await asyncio.sleep(0)  # both are sent
        batcher.add(link, third)  # is sent at most 0.05 s later, together with any others

    :param write: writes a message to a link and returns whether the link is usable.
    :param spawn: runs a coroutine as a task for as long as the network runs.
    """

    __slots__ = ('_environment', '_spawn', '_write')

    def __init__(
        self,
        *,
        environment: Environment,
        write: Callable[[PeerLink, Message], bool],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._environment = environment
        self._write = write
        self._spawn = spawn

    def add(self, link: PeerLink, update: MemberUpdate) -> bool:
        """Send an update within 0.05 s; return whether the link is usable."""
        subject = (update.host, update.observer if update.state == 'suspect' else '')
        # An update that replaces an earlier one takes its place in the order as the latest.
        link.pending_update_by_subject.pop(subject, None)
        link.pending_update_by_subject[subject] = update
        if len(link.pending_update_by_subject) >= _MAX_UPDATES:
            return self.flush(link)
        if not link.is_flush_scheduled:
            link.is_flush_scheduled = True
            self._spawn(self._flush_when_due(link))
        return True

    def flush(self, link: PeerLink) -> bool:
        """Send the waiting updates of a link at once; return whether the link is usable."""
        updates = list(link.pending_update_by_subject.values())
        if not updates:
            return True
        link.pending_update_by_subject.clear()
        link.next_batch_at = self._environment.clock.monotonic() + _INTERVAL_S
        return self._write(link, updates[0] if len(updates) == 1 else pack_updates(updates))

    async def _flush_when_due(self, link: PeerLink) -> None:
        await asyncio.sleep(max(0, link.next_batch_at - self._environment.clock.monotonic()))
        link.is_flush_scheduled = False
        self.flush(link)
