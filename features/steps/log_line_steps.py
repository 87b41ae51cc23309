"""Steps of command_line.feature for log lines and log messages of libraries."""

import io
import logging
import re

from behave import then, when
from hypothesis import example, strategies
from hypothesis import given as given_values

from balsamrail.logs import Log, format_line
from balsamrail.process.library_logs import LibraryLogHandler

PAIR = re.compile(r'([^\s=]+)=(?:"((?:[^"\\]|\\.)*)"|([^\s"]*))(?: |$)')
ESCAPED = re.compile(r'\\(u[0-9a-f]{4}|U[0-9a-f]{8}|.)')
LETTERS = {'n': '\n', 'r': '\r', 't': '\t'}


@when('events with random values are written as lines')
def step_lines(context):
    context.lines = []

    @example('\U000e0001a')
    @example('a="b" \\')
    @given_values(strategies.text())
    def check(value):
        event = {'timestamp': 0, 'message_type': 'tried', 'first': value, 'second': value}
        context.lines.append((value, format_line(event=event)))

    check()


@then('a logfmt reader takes back the same values from one line each')
def step_read_back(context):
    assert len(context.lines) >= 100
    for value, line in context.lines:
        assert len(line.splitlines()) == 1, ascii(line)
        pairs, position = {}, 0
        while position < len(line):
            found = PAIR.match(line, position)
            assert found, ascii(line)
            position = found.end()
            quoted, plain = found.group(2, 3)
            pairs[found.group(1)] = plain if quoted is None else ESCAPED.sub(unescape, quoted)
        expected = {'event': 'tried', 'first': value, 'second': value}
        assert {key: pairs[key] for key in expected} == expected, ascii((line, value))


def unescape(found):
    code = found.group(1)
    if code[0] in 'uU' and len(code) > 1:
        return chr(int(code[1:], 16))
    return LETTERS.get(code, code)


@when('tornado logs "{text}" while the host\'s log takes the messages of libraries')
def step_library(context, text):
    context.output = io.StringIO()
    logger = logging.getLogger('tornado.general')
    handler = LibraryLogHandler(log=Log(host='attiki-a-1', output=context.output))
    logger.addHandler(handler)
    try:
        logger.warning(text)
    finally:
        logger.removeHandler(handler)


@then('the line of the host\'s log has "{first}" and "{second}"')
def step_library_line(context, first, second):
    line = context.output.getvalue()
    assert first in line and second.replace('\\"', '"') in line, line
