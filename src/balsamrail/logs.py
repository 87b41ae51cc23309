"""Logging with eliot, in logfmt with one line per event."""

import re
import sys
from datetime import UTC, datetime
from typing import Any, Protocol

import eliot

_UNQUOTED_VALUE = re.compile(r'[^\s="\\]+', re.ASCII)
_ESCAPES = str.maketrans(
    {'\\': r'\\', '"': r'\"', '\n': r'\n', '\r': r'\r', '\t': r'\t'},
)
_MAX_FOUR_DIGIT_ESCAPE = 0xFFFF
_OMITTED_KEYS = frozenset(('task_uuid', 'task_level', 'timestamp', 'message_type'))


class _Output(Protocol):
    def write(self, text: str, /) -> object: ...


def format_line(*, event: dict[str, Any]) -> str:
    """Format the event as one line of ``key=value`` pairs without a line end.

    Values with spaces, quotes, equals signs or control characters are quoted with backslash
    escapes, so that any logfmt parser restores them::

        time=2026-12-04T10:00:00.000Z event=peer_lost host=attiki-a-1 reason="no answer"
    """
    instant = datetime.fromtimestamp(event['timestamp'], UTC)
    stamp = instant.isoformat(timespec='milliseconds').replace('+00:00', 'Z')
    pairs = [f'time={stamp}', f'event={_quote(event.get("message_type", "unknown"))}']
    for key, value in event.items():
        if key not in _OMITTED_KEYS:
            pairs.append(f'{key}={_quote(value)}')
    return ' '.join(pairs)


class Log:
    """Writes the log events of one process.

    :param host: name of the host, added to each line.
    :param output: destination of the lines, standard output by default.
    """

    __slots__ = ('_host', '_logger')

    def __init__(self, *, host: str, output: _Output | None = None) -> None:
        self._host = host
        self._logger = _LineLogger(output=output or sys.stdout)

    def event(self, name: str, /, **fields: object) -> None:
        """Log the event ``name`` with ``fields`` as key-value pairs."""
        eliot.Message.new(message_type=name, host=self._host, **fields).write(self._logger)


class _LineLogger:
    """An eliot logger that writes logfmt instead of JSON."""

    def __init__(self, *, output: _Output) -> None:
        self._output = output

    def write(self, dictionary: dict[str, Any], serializer: object = None) -> None:
        self._output.write(format_line(event=dictionary) + '\n')


def _quote(value: object) -> str:
    match value:
        case bool():
            return 'true' if value else 'false'
        case None:
            return 'null'
        case float():
            return f'{value:.6g}'
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text) and text.isprintable():
        return text
    escaped = text.translate(_ESCAPES)
    printable = ''.join(
        letter if letter.isprintable() else _escape(ord(letter)) for letter in escaped
    )
    return f'"{printable}"'


def _escape(code: int) -> str:
    # A parser reads only four digits after \u, so larger code points need \U with eight.
    return rf'\u{code:04x}' if code <= _MAX_FOUR_DIGIT_ESCAPE else rf'\U{code:08x}'
