"""The base class of the exception hierarchy."""

from typing import ClassVar


class BalsamrailError(Exception):
    """Base class of all errors that this package raises."""

    code: ClassVar[str] = 'internal'
