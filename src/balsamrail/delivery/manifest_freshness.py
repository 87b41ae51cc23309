"""Whether the manifest in force is known to have been the newest one a short time ago."""

from typing import Protocol


class ManifestFreshness(Protocol):
    """Tells whether requests may be accepted by their API keys."""

    def is_confirmed(self) -> bool:
        """Return whether no key of the manifest in force can have been withdrawn for long."""


class AlwaysConfirmed:
    """The freshness where the deployment does not bound the time that a withdrawn key works."""

    __slots__ = ()

    def is_confirmed(self) -> bool:
        """Return ``True``."""
        return True


ALWAYS_CONFIRMED: ManifestFreshness = AlwaysConfirmed()
