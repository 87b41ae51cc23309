"""The command ``entry``."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from balsamrail.cli.documents import read_settings
from balsamrail.cli.exit_code import ExitCode, UsageError


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
        """Serve until the graceful shutdown has completed."""
        from balsamrail.entry.serve import serve

        settings = read_settings(self.settings)
        try:
            serve(settings, path=self.settings)
        except OSError as error:
            raise UsageError(f'cannot listen: {error}') from error
        return ExitCode.ok
