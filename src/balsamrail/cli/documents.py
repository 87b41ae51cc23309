"""Reading and validation of the files passed to commands."""

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from balsamrail.cli.exit_code import SettingsError, UsageError
from balsamrail.errors import DocumentError

if TYPE_CHECKING:
    from balsamrail.configuration import Declaration
    from balsamrail.settings import Settings

_DECLARATION_FIELDS = frozenset(('services', 'regions', 'links', 'trial'))


def read_text(path: str) -> str:
    """Return the text of a file, or of standard input for ``-``.

    :raises UsageError: if the file cannot be read or is not UTF-8 text.
    """
    try:
        return sys.stdin.read() if path == '-' else Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error
    except UnicodeDecodeError as error:
        raise UsageError(f'{path}: not UTF-8 text') from error


def read_settings(path: str) -> 'Settings':
    """Read and validate a settings file.

    :raises SettingsError: with one line for each error.
    """
    return check_settings(read_text(path))


def check_settings(text: str) -> 'Settings':
    """Validate the text of a settings file; see :func:`read_settings`."""
    from balsamrail.documents import decode_document
    from balsamrail.settings import Settings

    try:
        return decode_document(text=text, kind=Settings)
    except DocumentError as error:
        raise SettingsError(faults=error.faults) from error


def check_declaration(text: str) -> 'Declaration':
    """Validate the text of a declaration.

    :raises DocumentError: with one line for each error.
    """
    from balsamrail.configuration import load_declaration

    return load_declaration(text)


def is_declaration(text: str) -> bool:
    """Return whether a text has fields of a declaration rather than of settings.

    :raises UsageError: if the text is not a JSON object and therefore neither.
    """
    try:
        document: Any = json.loads(text)
    except ValueError as error:
        raise UsageError(f'neither settings nor a declaration: not valid JSON: {error}') from error
    if not isinstance(document, dict):
        raise UsageError('neither settings nor a declaration: not a JSON object')
    return not _DECLARATION_FIELDS.isdisjoint(document)
