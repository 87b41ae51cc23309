"""Limits on what a host takes on for other hosts."""

import contextlib
from collections.abc import Iterator

from balsamrail.errors import PathsLostError, ProxyBusyError
from balsamrail.placement.path_monitor import PathMonitor

# About the number of requests that a host handles at once under its own full load.
_MAX_IN_FLIGHT = 128


class ProxyAdmission:
    """Admits requests of other hosts, or refuses them at once so that they go elsewhere.

    The limit keeps room for this host's own callers, however many other hosts need help::

        with admission.admitted():
            response = await run(request)

    :param paths: the state of this host's own paths to targets.
    """

    __slots__ = ('_paths', 'in_flight')

    def __init__(self, *, paths: PathMonitor) -> None:
        self._paths = paths
        self.in_flight = 0

    @contextlib.contextmanager
    def admitted(self) -> Iterator[None]:
        """Count a request of another host while the context is active.

        :raises PathsLostError: if this host reaches no target itself.
        :raises ProxyBusyError: if this host has as many such requests as it takes.
        """
        if self._paths.is_lost():
            raise PathsLostError(detail='this host reaches no target either')
        if self.in_flight >= _MAX_IN_FLIGHT:
            raise ProxyBusyError(detail='this host has too many requests of other hosts')
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
