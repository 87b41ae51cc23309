"""The command ``submit``."""

import asyncio
import getpass
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Annotated, Any

import cappa

from balsamrail.cli.documents import check_declaration, read_settings, read_text
from balsamrail.cli.exit_code import ExitCode
from balsamrail.cli.output import OutputFormat, print_error, print_fields, print_json
from balsamrail.cli.progress import with_progress

if TYPE_CHECKING:
    from balsamrail.settings import Settings


@cappa.command(
    name='submit',
    help='Submit a declaration. It is tried as it says itself and then in force on all hosts.',
    epilog=(
        'Example: `balsamrail submit declaration.json '
        '--settings examples/selokosmos/hosts/attiki-a-1.json`'
    ),
)
@dataclass(slots=True, kw_only=True)
class SubmitCommand:
    """Writes the candidate declaration to the store configured in the settings file."""

    file: Annotated[str, cappa.Arg(help='The declaration; `-` is standard input.')]
    settings: Annotated[str, cappa.Arg(long=True, help='A settings file; names the store.')]
    author: Annotated[str | None, cappa.Arg(long=True, help='Who submits it.')] = None
    base_revision: Annotated[
        int | None,
        cappa.Arg(
            long='--base-revision',
            help='The revision that the text was edited from. Another one in force is a conflict.',
        ),
    ] = None
    format: Annotated[OutputFormat, cappa.Arg(long=True, help='Form of the output.')] = (
        OutputFormat.text
    )

    def run(self) -> int:
        """Submit the declaration and print its revision."""
        settings = read_settings(self.settings)
        text = read_text(self.file)
        check_declaration(text)
        outcome = asyncio.run(self._submit(settings, text))
        if self.format is OutputFormat.json:
            print_json({'conflict': 'paths' in outcome, **outcome})
        else:
            print_fields(outcome)
        if 'paths' in outcome:
            print_error('conflict: another declaration came first and differs at these paths')
            return ExitCode.conflict
        return ExitCode.ok

    async def _submit(self, settings: 'Settings', text: str) -> dict[str, Any]:
        from balsamrail.configuration.submit import submit_declaration
        from balsamrail.environment import Environment
        from balsamrail.store import HttpStore

        environment = Environment.create(settings=settings)
        outcome = await with_progress(
            submit_declaration(
                environment=environment,
                store=HttpStore(environment=environment),
                text=text,
                author=self.author or getpass.getuser(),
                base_revision=self.base_revision,
            ),
            text=f'waiting for the store {settings.store.address}',
        )
        fields = asdict(outcome)
        fields.pop('text', None)
        return fields
