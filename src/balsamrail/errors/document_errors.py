"""Errors of documents that cannot be decoded."""

from balsamrail.errors.balsamrail_error import BalsamrailError


class DocumentError(BalsamrailError):
    """A settings file, a declaration or a record is invalid.

    :param faults: one line for each validation error, in the form ``path: fault``.
    """

    code = 'document_invalid'

    def __init__(self, *, faults: list[str]) -> None:
        super().__init__('\n'.join(faults))
        self.faults = faults


class EntryError(BalsamrailError):
    """An object of the platform's store does not have the form required for its kind."""

    code = 'entry_invalid'
