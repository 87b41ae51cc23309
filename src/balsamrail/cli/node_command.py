"""The command ``node``."""

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import cappa

from balsamrail.cli.documents import read_settings
from balsamrail.cli.exit_code import ExitCode, UsageError

if TYPE_CHECKING:
    from balsamrail.settings import Settings


@cappa.command(
    name='node',
    help='Run one host until SIGTERM, then stop without cutting off a request.',
    epilog='Example: `balsamrail node --settings examples/selokosmos/hosts/attiki-a-1.json`',
)
@dataclass(slots=True, kw_only=True)
class NodeCommand:
    """Runs a host in this process."""

    settings: Annotated[str, cappa.Arg(long=True, help='The settings file of the host.')]

    def run(self) -> int:
        """Serve until the graceful shutdown has completed."""
        settings = read_settings(self.settings)
        try:
            asyncio.run(_serve(settings))
        except OSError as error:
            raise UsageError(f'cannot listen: {error}') from error
        return ExitCode.ok


async def _serve(settings: 'Settings') -> None:
    from balsamrail.environment import Environment
    from balsamrail.host.assembly import build_components
    from balsamrail.node import Node
    from balsamrail.process.library_logs import LibraryLogHandler

    environment = Environment.create(settings=settings)
    logging.getLogger().addHandler(LibraryLogHandler(log=environment.log))
    node = Node(environment=environment, parts=build_components(environment=environment))
    node.install_signal_handlers()
    await node.run()
