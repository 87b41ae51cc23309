"""A declaration that was not submitted because of another one."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, kw_only=True, frozen=True)
class SubmitConflict:
    """The other author's version, and the JSON paths at which it differs from the own text.

    ``author`` is empty if the other text has been accepted, since the record then no longer
    names its author.
    """

    number: int
    revision: int
    author: str
    text: dict[str, Any]
    paths: list[str]
