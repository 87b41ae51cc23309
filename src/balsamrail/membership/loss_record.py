"""The losses of members that the fleet has agreed on, recorded in the platform's store."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.membership.member import Member

_RETRY_INTERVAL_S = 1.0


class LossSource(Protocol):
    """Reads and writes the recorded losses."""

    async def read_losses(self) -> list[str]:
        """Return the recorded losses.

        :raises StoreError: if the store did not answer.
        """

    async def write_losses(self, losses: list[str], *, is_stale_allowed: bool) -> None:
        """Replace the recorded losses, unless all of these are recorded already.

        :param is_stale_allowed: whether what is recorded may be read from an answer that is seconds old.
        :raises StoreError: if the store did not accept them.
        """


class LossRecord:
    """Tells a host that sees no other one whether the others still run without it.

    To a host that is cut off, all others look lost. If several of them are left, they agree that
    the host is lost and record this, so that it finds its own loss here::

        record.report([loss_id(member)])  # on the other side
        record.request_check()  # on the host that is alone
        record.is_unrecorded(own_member, since=suspected_at)  # False once the store answered

    ``on_check`` is called after each read that succeeded.

    :param source: the store. A host that does not reach it learns nothing here.
    """

    __slots__ = (
        '_checked_at',
        '_delay_s',
        '_environment',
        '_is_check_due',
        '_losses',
        '_may_be_lost',
        '_source',
        '_unwritten',
        '_wake_up',
        '_written',
        'on_check',
    )

    def __init__(self, *, environment: Environment, source: LossSource) -> None:
        self._environment = environment
        self._source = source
        # When the last read that succeeded began, and its result.
        self._checked_at: float | None = None
        self._losses: frozenset[str] = frozenset()
        self._is_check_due = False
        self._written: frozenset[str] = frozenset()
        self._unwritten: frozenset[str] | None = None
        self._delay_s: float = 0
        # Whether the store may have lost what was written.
        self._may_be_lost = False
        self._wake_up = asyncio.Event()
        self.on_check: Callable[[], None] = lambda: None

    def report(self, losses: Iterable[str], *, delay_s: float = 0) -> None:
        """Record the present losses unless all of them are recorded already.

        :param delay_s: the time that another host has to record them first.
        """
        present = frozenset(losses)
        if present <= (self._written if self._unwritten is None else self._unwritten):
            return
        self._unwritten = present
        self._delay_s = delay_s
        self._wake_up.set()

    def report_again(self) -> None:
        """Record what was recorded before once more, since the store may have lost it."""
        if not self._written:
            return
        self._may_be_lost = True
        if self._unwritten is None:
            self._unwritten = self._written
        self._wake_up.set()

    def request_check(self) -> None:
        """Read the recorded losses soon."""
        self._is_check_due = True
        self._wake_up.set()

    def is_unrecorded(self, member: Member, *, since: float) -> bool:
        """Return whether a read that began after ``since`` found no loss of ``member``.

        :param since: event loop time in seconds.
        """
        if self._checked_at is None or self._checked_at < since:
            return False
        return not any(_concerns(loss, member) for loss in self._losses)

    async def run(self) -> None:
        """Read and write when there is a reason to, until cancelled."""
        while True:
            await self._wake_up.wait()
            self._wake_up.clear()
            try:
                await self._write()
                await self._check()
            except StoreError as error:
                self._environment.log.event('loss_record_failed', reason=error)
                await asyncio.sleep(_RETRY_INTERVAL_S)
                self._wake_up.set()

    def dump(self) -> dict[str, Any]:
        """Return the recorded losses as plain data."""
        return {'read': sorted(self._losses), 'written': sorted(self._written)}

    async def _write(self) -> None:
        if self._unwritten is None:
            return
        await asyncio.sleep(self._delay_s)
        losses = self._unwritten
        may_be_lost, self._may_be_lost = self._may_be_lost, False
        try:
            await self._source.write_losses(sorted(losses), is_stale_allowed=not may_be_lost)
        except StoreError:
            self._may_be_lost |= may_be_lost
            raise
        self._written = losses
        if self._unwritten == losses and not self._may_be_lost:
            self._unwritten = None
        self._environment.log.event('losses_recorded', losses=','.join(sorted(losses)))

    async def _check(self) -> None:
        if not self._is_check_due:
            return
        began_at = self._environment.clock.monotonic()
        losses = await self._source.read_losses()
        self._is_check_due = False
        self._losses = frozenset(losses)
        self._checked_at = began_at
        self._environment.log.event('losses_read', losses=','.join(sorted(losses)))
        self.on_check()


def loss_id(member: Member) -> str:
    """Return the identifier of the loss of a member; its refutation makes it outdated."""
    return f'{member.holder}#{member.refutation}'


def _concerns(loss: str, member: Member) -> bool:
    holder, _, refutation = loss.rpartition('#')
    is_number = refutation.isascii() and refutation.isdigit()
    return holder == member.holder and is_number and int(refutation) >= member.refutation
