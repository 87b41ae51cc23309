"""The command ``status``."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from balsamrail.cli.exit_code import ExitCode, HostUnreachableError
from balsamrail.cli.http_get import get_json
from balsamrail.cli.output import OutputFormat, print_error, print_json, print_table


@cappa.command(
    name='status',
    help='Show in one line for each host whether it serves and with which record.',
    epilog='Example: `balsamrail status 127.0.0.11:7003 127.0.0.12:7003`',
)
@dataclass(slots=True, kw_only=True)
class StatusCommand:
    """Fetches ``/status`` of the operator address of each host."""

    hosts: Annotated[list[str], cappa.Arg(help="The hosts' operator addresses.", required=True)]
    format: Annotated[OutputFormat, cappa.Arg(long=True, help='Form of the output.')] = (
        OutputFormat.text
    )

    def run(self) -> int:
        """Print the status of all hosts that respond and return 7 if one does not."""
        rows = []
        exit_code = ExitCode.ok
        for address in self.hosts:
            try:
                rows.append({'address': address, **get_json(address=address, path='/status')})
            except HostUnreachableError as error:
                print_error(f'{error.code}: {error}')
                exit_code = ExitCode.host_unreachable
        if self.format is OutputFormat.json:
            print_json(rows)
        else:
            print_table(rows)
        return exit_code
