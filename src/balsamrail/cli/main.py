"""Entry point of the program ``balsamrail``."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass

import cappa

from balsamrail.cli.check_command import CheckCommand
from balsamrail.cli.dump_command import DumpCommand
from balsamrail.cli.entry_command import EntryCommand
from balsamrail.cli.exit_code import ExitCode, exit_code_of
from balsamrail.cli.explain_command import ExplainCommand
from balsamrail.cli.lookup_command import LookupCommand
from balsamrail.cli.node_command import NodeCommand
from balsamrail.cli.output import print_error
from balsamrail.cli.status_command import StatusCommand
from balsamrail.cli.submit_command import SubmitCommand
from balsamrail.errors import BalsamrailError

_EPILOG = """
Exit codes: 0 ok, 1 internal fault, 2 usage, 3 invalid settings, 4 invalid declaration,
5 conflict with another operator's change, 6 store unavailable, 7 host unreachable.

Example: `balsamrail check declaration.json`
"""


@cappa.command(
    name='balsamrail',
    help='Steers traffic across availability zones and regions.',
    epilog=_EPILOG,
)
@dataclass(slots=True, kw_only=True)
class _Program:
    command: cappa.Subcommands[
        NodeCommand
        | EntryCommand
        | CheckCommand
        | SubmitCommand
        | StatusCommand
        | LookupCommand
        | DumpCommand
        | ExplainCommand
    ]


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code.

    :param argv: the arguments without the program's name; those of the process by default.
    """
    arguments = sys.argv[1:] if argv is None else list(argv)
    try:
        program = cappa.parse(_Program, argv=arguments, completion=False)
    except cappa.Exit as error:
        return _parser_exit_code(error)
    try:
        return program.command.run()
    except BalsamrailError as error:
        print_error(f'{error.code}: {error}')
        return exit_code_of(error)
    except BrokenPipeError:
        return ExitCode.ok
    except KeyboardInterrupt:
        return ExitCode.internal


def _parser_exit_code(error: cappa.Exit) -> int:
    return ExitCode.usage if error.code else ExitCode.ok
