"""Evidence for a manifest that this host does not have yet."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class PendingEvidence:
    """A peer's evidence that nothing newer than a version had been written up to a time.

    :param until: a time of this host's :meth:`balsamrail.clock.Clock.boottime`.
    :param source: the peer.
    """

    version: int
    until: float
    source: str
