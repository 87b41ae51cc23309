"""Exit codes of the command line."""

from enum import IntEnum

from balsamrail.errors import (
    BalsamrailError,
    DocumentError,
    StoreConflictError,
    StoreError,
)


class ExitCode(IntEnum):
    """Exit codes that scripts can rely on."""

    ok = 0
    internal = 1
    usage = 2
    settings_invalid = 3
    declaration_invalid = 4
    conflict = 5
    store_unavailable = 6
    host_unreachable = 7


class HostUnreachableError(BalsamrailError):
    """A host did not respond to a command, or responded with an error."""

    code = 'host_unreachable'


class SettingsError(DocumentError):
    """A settings file is invalid."""

    code = 'settings_invalid'


class UsageError(BalsamrailError):
    """The arguments of a command are invalid."""

    code = 'usage'


def exit_code_of(error: BalsamrailError) -> ExitCode:
    """Return the exit code for ``error``."""
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
