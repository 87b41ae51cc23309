"""Keeps the manifests that were parsed last."""

from collections import deque
from typing import Any

from balsamrail.catalog.manifest import Manifest
from balsamrail.errors import EntryError
from balsamrail.platform.manifest_reader import read_manifest

# The manifest in force and the one that replaces it, whose versions are compared.
_KEPT = 2


class ParsedManifests:
    """Parses each stored manifest once.

    One with 5,000 customers takes 55 ms on the machine of the tests, in which a host serves nobody, and
    each change asks for the versions of the old and the new one before the new one is used.
    """

    __slots__ = ('_parsed',)

    def __init__(self) -> None:
        self._parsed: deque[tuple[Any, Manifest | str]] = deque(maxlen=_KEPT)

    def read(self, spec: Any) -> Manifest:
        """Return the manifest of the spec of a stored object.

        :raises EntryError: if it is malformed.
        """
        parsed = self._find(spec)
        if isinstance(parsed, str):
            raise EntryError(parsed)
        return parsed

    def version(self, spec: Any) -> int | None:
        """Return the version of the manifest, ``None`` if it is malformed."""
        parsed = self._find(spec)
        return None if isinstance(parsed, str) else parsed.version

    def _find(self, spec: Any) -> Manifest | str:
        for known, parsed in self._parsed:
            if known is spec:
                return parsed
        result: Manifest | str
        try:
            result = read_manifest(spec)
        except EntryError as error:
            result = str(error)
        self._parsed.append((spec, result))
        return result
