"""The command ``dump``."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from balsamrail.cli.exit_code import ExitCode, UsageError
from balsamrail.cli.http_get import get_json
from balsamrail.cli.output import OutputFormat, print_json


@cappa.command(
    name='dump',
    help="Print the state of a host's parts.",
    epilog='Example: `balsamrail dump 127.0.0.11:7003 --part members`',
)
@dataclass(slots=True, kw_only=True)
class DumpCommand:
    """Fetches ``/dump`` of a host's operator address."""

    host: Annotated[str, cappa.Arg(help="The host's operator address.")]
    part: Annotated[str | None, cappa.Arg(long=True, help='Only this part.')] = None
    format: Annotated[
        OutputFormat, cappa.Arg(long=True, help='One line `path = value` each, or JSON.')
    ] = OutputFormat.json

    def run(self) -> int:
        """Print the dump."""
        dump = get_json(address=self.host, path='/dump')
        if self.part is not None:
            if self.part not in dump:
                raise UsageError(f'no part {self.part!r}, there are: {", ".join(sorted(dump))}')
            dump = dump[self.part]
        if self.format is OutputFormat.json:
            print_json(dump)
        else:
            _print_paths('', dump)
        return ExitCode.ok


def _print_paths(path: str, value: object) -> None:
    match value:
        case dict() if value:
            for key, entry in value.items():
                _print_paths(f'{path}.{key}' if path else str(key), entry)
        case list() if value:
            for index, entry in enumerate(value):
                _print_paths(f'{path}[{index}]', entry)
        case _:
            print(f'{path} = {value}')
