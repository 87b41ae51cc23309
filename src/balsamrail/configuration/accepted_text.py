"""The accepted declaration as the record holds it."""

from dataclasses import dataclass, field
from typing import Any

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class AcceptedText:
    """A declaration in force and its revision, which only rises.

    ``text`` is the declaration as a JSON object, so that a merge patch of the record carries the
    changed fields only.
    """

    revision: int = field(metadata=schema(min=1))
    text: dict[str, Any]
