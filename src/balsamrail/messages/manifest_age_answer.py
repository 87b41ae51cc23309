"""Evidence that a manifest is the newest."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestAgeAnswer:
    """Answers a :class:`~balsamrail.messages.manifest_age_request.ManifestAgeRequest`.

    ``age_ms`` is the time since the sender's manifest, of ``manifest_version``, is known to have been
    the newest in the store, rounded up; -1 if the sender has no evidence. ``era`` is the newest era of
    the store that the sender knows.
    """

    number: int
    age_ms: int
    manifest_version: int
    era: int
