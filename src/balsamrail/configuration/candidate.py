"""A declaration on trial as the record holds it."""

from dataclasses import dataclass, field
from typing import Any

from apischema import schema

from balsamrail.configuration.trial import Trial


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """A declaration that a share of the callers gets. ``since`` is its submission in wall
    seconds."""

    revision: int = field(metadata=schema(min=1))
    text: dict[str, Any]
    author: str
    since: float
    trial: Trial
