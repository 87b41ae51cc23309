"""The command ``check``."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from balsamrail.cli.documents import (
    check_declaration,
    check_settings,
    is_declaration,
    read_text,
)
from balsamrail.cli.exit_code import ExitCode, exit_code_of
from balsamrail.cli.output import OutputFormat, print_error, print_fields, print_json
from balsamrail.errors import DocumentError


@cappa.command(
    name='check',
    help='Check a settings file or a declaration and name every fault with its path.',
    epilog='Example: `balsamrail check examples/selokosmos/declaration.json`',
)
@dataclass(slots=True, kw_only=True)
class CheckCommand:
    """Validates a file and detects by its fields whether it is a settings file or a declaration."""

    file: Annotated[str, cappa.Arg(help='The file; `-` is standard input.')]
    format: Annotated[OutputFormat, cappa.Arg(long=True, help='Form of the output.')] = (
        OutputFormat.text
    )

    def run(self) -> int:
        """Print the result and return 0, or 3 (settings) or 4 (declaration) if there are errors."""
        text = read_text(self.file)
        kind = 'declaration' if is_declaration(text) else 'settings'
        try:
            summary = _summary(text, kind)
        except DocumentError as error:
            self._print_errors(kind, error)
            return exit_code_of(error)
        if self.format is OutputFormat.json:
            print_json({'file': self.file, 'kind': kind, 'faults': [], **summary})
        else:
            print_fields({'file': self.file, 'kind': kind, **summary, 'faults': 'none'})
        return ExitCode.ok

    def _print_errors(self, kind: str, error: DocumentError) -> None:
        if self.format is OutputFormat.json:
            print_json({'file': self.file, 'kind': kind, 'faults': error.faults})
            return
        for fault in error.faults:
            print_error(f'{self.file}: {fault}')


def _summary(text: str, kind: str) -> dict[str, object]:
    if kind == 'settings':
        settings = check_settings(text)
        return {'deployment': settings.deployment, 'host': settings.host}
    declaration = check_declaration(text)
    services = declaration.services
    return {
        'deployment': declaration.deployment,
        'regions': list(declaration.regions),
        'services': list(services),
        'targets': sum(len(service.targets) for service in services.values()),
    }
