"""A declaration on trial as stored in the record."""

from dataclasses import dataclass, field
from typing import Any

from apischema import schema

from balsamrail.configuration.trial import Trial


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """A declaration that applies to a share of the callers during its trial.

    ``since`` is the wall-clock time of its submission, in seconds.
    """

    revision: int = field(metadata=schema(min=1))
    text: dict[str, Any]
    author: str
    since: float
    trial: Trial
