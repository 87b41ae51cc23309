"""Question for the evidence that a manifest is the newest."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestAgeRequest:
    """Asks the receiver until when its manifest is known to have been the newest in the store.

    ``number`` identifies the question among those of the sender.
    """

    number: int
