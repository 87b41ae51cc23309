"""Logs when a host stops and starts receiving the store's changes."""

from collections.abc import Iterable

from balsamrail.environment import Environment


class CurrencyLog:
    """Writes one line each time a host loses or regains its sources of changes.

    A host that follows others has no dependency on the store whose loss it could report, so that
    its log would not show since when it has decided by old objects.
    """

    __slots__ = ('_changed_at', '_environment', '_receives_changes')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._receives_changes = False
        self._changed_at = environment.clock.monotonic()

    def record(self, *, receives_changes: bool, sources: Iterable[str], hops: int) -> None:
        """Note whether the host receives changes now.

        :param sources: the followed hosts of the own region.
        :param hops: the number of hosts between this one and the store.
        """
        if receives_changes == self._receives_changes:
            return
        now = self._environment.clock.monotonic()
        self._environment.log.event(
            'changes_received' if receives_changes else 'changes_interrupted',
            sources=','.join(sources),
            hops=hops,
            after_s=now - self._changed_at,
        )
        self._receives_changes = receives_changes
        self._changed_at = now
