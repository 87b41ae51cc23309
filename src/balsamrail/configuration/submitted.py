"""A declaration that was submitted."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Submitted:
    """The record's number with the text in it, the text's revision, and whether it is accepted
    already or on trial."""

    number: int
    revision: int
    accepted: bool
