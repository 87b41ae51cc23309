"""The command ``explain``."""

from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlencode

import cappa

from balsamrail.cli.exit_code import ExitCode
from balsamrail.cli.http_get import get_json
from balsamrail.cli.output import OutputFormat, print_fields, print_json, print_table


@cappa.command(
    name='explain',
    help='Ask an entry host where a request would go now, and why, without sending it.',
    epilog='Example: `balsamrail explain 127.0.0.11:7003 jepu9.example /lepu270/2f --object 17`',
)
@dataclass(slots=True, kw_only=True)
class ExplainCommand:
    """Fetches ``/explain`` of a host's operator address."""

    host: Annotated[str, cappa.Arg(help="The host's operator address.")]
    name: Annotated[str, cappa.Arg(help='Host name of the request.')]
    path: Annotated[str, cappa.Arg(help='Path of the request.')]
    object: Annotated[str, cappa.Arg(long=True, help='Affinity key of the request.')] = ''
    customer: Annotated[
        str, cappa.Arg(long=True, help='Name of the customer that sends it; not its API key.')
    ] = ''
    format: Annotated[OutputFormat, cappa.Arg(long=True, help='Form of the output.')] = (
        OutputFormat.text
    )

    def run(self) -> int:
        """Print the decisions."""
        query = urlencode(
            {
                'host': self.name,
                'path': self.path,
                'object_key': self.object,
                'customer_name': self.customer,
            }
        )
        answer = get_json(address=self.host, path=f'/explain?{query}')
        if self.format is OutputFormat.json:
            print_json(answer)
            return ExitCode.ok
        services = answer.pop('services', [])
        print_fields({**answer, **answer.pop('route', {})})
        for service in services:
            candidates = service.pop('candidates')
            print_fields(service)
            print_table(candidates)
        return ExitCode.ok
