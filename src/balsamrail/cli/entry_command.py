"""The command ``entry``."""

import asyncio
import logging
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import cappa

from balsamrail.cli.documents import read_settings
from balsamrail.cli.exit_code import ExitCode, UsageError

if TYPE_CHECKING:
    from balsamrail.settings import Settings


@cappa.command(
    name='entry',
    help="Run one entry host on the users' platform until SIGTERM.",
    epilog='Example: `balsamrail entry --settings /etc/balsamrail/local.conf`',
)
@dataclass(slots=True, kw_only=True)
class EntryCommand:
    """Runs an entry host in this process."""

    settings: Annotated[str, cappa.Arg(long=True, help='The settings file of the host.')]

    def run(self) -> int:
        """Serve until the planned stop has ended."""
        settings = read_settings(self.settings)
        try:
            asyncio.run(_serve(settings, self.settings))
        except OSError as error:
            raise UsageError(f'cannot listen: {error}') from error
        return ExitCode.ok


async def _serve(settings: 'Settings', path: str) -> None:
    from balsamrail.entry import EntryHost
    from balsamrail.environment import Environment
    from balsamrail.host import LibraryLogHandler
    from balsamrail.log_buffer import LogBuffer
    from balsamrail.logs import Log

    lines = LogBuffer(descriptor=sys.stdout.fileno())
    log = Log(host=settings.host, output=lines)
    environment = Environment.create(settings=settings, log=log)
    logging.getLogger().addHandler(LibraryLogHandler(log=environment.log))
    host = EntryHost(environment=environment, settings_path=path)
    host.stop_on_signal()
    try:
        await host.run()
    finally:
        lines.close()
