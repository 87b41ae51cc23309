"""Runs an entry host in the current process."""

import asyncio
import logging
import signal
import sys
from pathlib import Path

from balsamrail.documents import decode_document
from balsamrail.entry.entry_host import EntryHost
from balsamrail.environment import Environment
from balsamrail.errors import DocumentError
from balsamrail.log_buffer import LogBuffer
from balsamrail.logs import Log
from balsamrail.process.ignored_signals import ignore_signals
from balsamrail.process.library_logs import LibraryLogHandler
from balsamrail.settings import Settings

# The exit codes of the command line; see docs/operators/settings.md.
_OK = 0
_USAGE_ERROR = 2
_SETTINGS_INVALID = 3


def serve_file(path: str) -> int:
    """Serve with the settings from a file until SIGTERM and return the exit code."""
    try:
        settings = decode_document(text=Path(path).read_text(encoding='utf-8'), kind=Settings)
    except DocumentError as error:
        sys.stderr.writelines(f'{path}: {fault}\n' for fault in error.faults)
        return _SETTINGS_INVALID
    except (OSError, UnicodeDecodeError) as error:
        sys.stderr.write(f'{path}: {error}\n')
        return _USAGE_ERROR
    try:
        serve(settings, path=path)
    except OSError as error:
        sys.stderr.write(f'cannot listen: {error}\n')
        return _USAGE_ERROR
    return _OK


def serve(settings: Settings, *, path: str) -> None:
    """Serve until SIGTERM.

    :param path: the settings file, which is reloaded when it changes.
    :raises OSError: if listening on an address fails.
    """
    asyncio.run(_serve(settings, path))


async def _serve(settings: Settings, path: str) -> None:
    lines = LogBuffer(descriptor=sys.stdout.fileno())
    log = Log(host=settings.host, output=lines)
    environment = Environment.create(settings=settings, log=log)
    logging.getLogger().addHandler(LibraryLogHandler(log=environment.log))
    host = EntryHost(environment=environment, settings_path=path)
    host.install_signal_handlers()
    try:
        await host.run()
    finally:
        # Closing the event loop would restore the default actions.
        ignore_signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        lines.close()
