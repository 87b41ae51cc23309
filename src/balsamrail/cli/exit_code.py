"""Exit codes of the command line."""

from enum import IntEnum

from balsamrail.errors import (
    BalsamrailError,
    DocumentError,
    StoreConflictError,
    StoreError,
)


class ExitCode(IntEnum):
    """What the command line reports to scripts."""

    ok = 0
    internal = 1
    usage = 2
    settings_invalid = 3
    declaration_invalid = 4
    conflict = 5
    store_unavailable = 6
    host_unreachable = 7


class HostUnreachableError(BalsamrailError):
    """A host did not answer a command, or answered with an error."""

    code = 'host_unreachable'


class SettingsError(DocumentError):
    """The file that is wrong is a settings file."""

    code = 'settings_invalid'


class UsageError(BalsamrailError):
    """A command was given arguments that do not fit."""

    code = 'usage'


def exit_code_of(error: BalsamrailError) -> ExitCode:
    """Return the exit code that tells ``error`` to scripts."""
    match error:
        case SettingsError():
            return ExitCode.settings_invalid
        case DocumentError():
            return ExitCode.declaration_invalid
        case StoreConflictError():
            return ExitCode.conflict
        case StoreError():
            return ExitCode.store_unavailable
        case HostUnreachableError():
            return ExitCode.host_unreachable
        case UsageError():
            return ExitCode.usage
    return ExitCode.internal
