"""The accepted declaration as stored in the record."""

from dataclasses import dataclass, field
from typing import Any

from apischema import schema


@dataclass(slots=True, kw_only=True, frozen=True)
class AcceptedDeclaration:
    """The declaration in force and its monotonically increasing revision.

    ``text`` is the declaration as a JSON object rather than a string, so that a merge patch of
    the record contains only the changed fields.
    """

    revision: int = field(metadata=schema(min=1))
    text: dict[str, Any]
