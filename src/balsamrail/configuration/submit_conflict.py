"""Result of a submission that conflicts with another author's declaration."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, kw_only=True, frozen=True)
class SubmitConflict:
    """The stored declaration, and the JSON paths at which it differs from the submitted one.

    ``author`` is empty if the stored declaration has been accepted, since the record has no
    author for accepted declarations.
    """

    number: int
    revision: int
    author: str
    text: dict[str, Any]
    paths: list[str]
