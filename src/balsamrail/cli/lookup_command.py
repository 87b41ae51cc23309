"""The command ``lookup``."""

from dataclasses import dataclass
from typing import Annotated
from urllib.parse import quote

import cappa

from balsamrail.cli.exit_code import ExitCode
from balsamrail.cli.http_get import get_json
from balsamrail.cli.output import OutputFormat, print_fields, print_json, print_table


@cappa.command(
    name='lookup',
    help='Ask a host which hosts a caller on this machine should use for a service.',
    epilog='Example: `balsamrail lookup bookings 127.0.0.11:7001`',
)
@dataclass(slots=True, kw_only=True)
class LookupCommand:
    """Fetches ``/lookup/{service}`` of a host's caller address."""

    service: Annotated[str, cappa.Arg(help='Name of the service.')]
    host: Annotated[str, cappa.Arg(help="The host's caller address.")]
    format: Annotated[OutputFormat, cappa.Arg(long=True, help='Form of the output.')] = (
        OutputFormat.text
    )

    def run(self) -> int:
        """Print the response."""
        answer = get_json(address=self.host, path=f'/lookup/{quote(self.service, safe="")}')
        if self.format is OutputFormat.json:
            print_json(answer)
            return ExitCode.ok
        hosts = answer.pop('hosts')
        print_fields(answer)
        print_table(hosts)
        return ExitCode.ok
