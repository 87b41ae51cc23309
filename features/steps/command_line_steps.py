"""Steps of command_line.feature."""

import asyncio
import contextlib
import io
import json
import logging
import re
import shlex
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from declaration_steps import VALID
from hypothesis import example, strategies
from hypothesis import given as given_values
from process_helpers import start_store
from product_fakes import make_settings

from balsamrail.cli import main
from balsamrail.cli.progress import with_progress
from balsamrail.documents import encode_value
from balsamrail.logs import Log, format_line
from balsamrail.process.library_logs import LibraryLogHandler
from tools.build_binary import ROOT

PAIR = re.compile(r'([^\s=]+)=(?:"((?:[^"\\]|\\.)*)"|([^\s"]*))(?: |$)')
ESCAPED = re.compile(r'\\(u[0-9a-f]{4}|U[0-9a-f]{8}|.)')
LETTERS = {'n': '\n', 'r': '\r', 't': '\t'}


@given('the files of an operator')
def step_files(context):
    folder = tempfile.TemporaryDirectory()
    context.stoppers = [folder.cleanup]
    settings = encode_value(value=make_settings())
    bad = json.loads(json.dumps(VALID))
    bad['services']['diary']['targets'][0]['slots'] = 0
    other = json.loads(json.dumps(VALID))
    other['services']['diary']['priority'] = 3
    documents = {
        'good': VALID,
        'other': other,
        'bad': bad,
        'settings': {**settings, 'store': {'address': '127.0.0.1:1'}},
        'bad-settings': {**settings, 'store': {'address': 'localhost:7000'}},
    }
    for name, document in documents.items():
        Path(folder.name, f'{name}.json').write_text(json.dumps(document))
    Path(folder.name, 'no-json.json').write_text('{')
    context.folder = folder.name


@given('a store that the settings name')
def step_store(context):
    path = Path(context.folder, 'settings.json')
    settings = json.loads(path.read_text())
    settings['store']['address'] = f'127.0.0.1:{start_store(context)}'
    path.write_text(json.dumps(settings))


@when('the demo of "{deployment}" is run once')
def step_demo(context, deployment):
    command = [sys.executable, '-m', 'tools.run_demo', '--once', '--deployment', deployment]
    context.demo = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )


@then('it prints a look-up and a booking that were answered with 200')
def step_demo_calls(context):
    output = context.demo.stdout
    assert context.demo.returncode == 0, (output, context.demo.stderr)
    assert re.search('GET .*/lookup/bookings -> 200 in', output), output
    assert re.search('POST .*/services/bookings/bookings -> 200 in', output), output


@then('all its processes have ended with exit code 0')
def step_demo_ended(context):
    assert '13 processes ended, exit codes [0]' in context.demo.stdout, context.demo.stdout


@when('"balsamrail {command}" is run')
def step_run(context, command):
    output = io.StringIO()
    with contextlib.chdir(context.folder), contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(output):
            context.code = main(shlex.split(command))
    context.output = output.getvalue()


@then('the exit code is {code:d} and the output has "{text}"')
def step_code(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text in ' '.join(context.output.split()), context.output


@when('something is waited for during {short:g} s and {long:g} s')
def step_wait(context, short, long):
    context.waits = []
    for duration in (short, long):
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            asyncio.run(with_progress(asyncio.sleep(duration), text='waiting for the store'))
        context.waits.append(output.getvalue())


@then('standard error names it only for the longer wait')
def step_named(context):
    assert context.waits == ['', 'waiting for the store ...\n']


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


@when('the module that starts an entry host is imported in a process of its own')
def step_import_entry(context):
    code = 'import sys, balsamrail.entry.__main__; print(*sys.modules)'
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=True, cwd=ROOT
    )
    context.modules = set(done.stdout.split())


@then('neither the command line nor the parts of a node are imported with it')
def step_lean(context):
    unused = {
        'cappa',
        'rich',
        'tornado.web',
        'balsamrail.cli',
        'balsamrail.configuration',
        'balsamrail.forwarding',
        'balsamrail.host',
        'balsamrail.lookup',
        'balsamrail.steering',
    }
    assert 'balsamrail.entry.serve' in context.modules
    assert not unused & context.modules, unused & context.modules


@when('the module that starts an entry host is run with "{wrong}" and with "{missing}"')
def step_run_entry(context, wrong, missing):
    context.runs = [
        subprocess.run(
            [sys.executable, '-m', 'balsamrail.entry', str(Path(context.folder, name))],
            capture_output=True,
            text=True,
            check=False,
            cwd=ROOT,
        )
        for name in (wrong, missing)
    ]


@then('it ends with the exit codes 3 and 2 and one line for each fault')
def step_entry_codes(context):
    wrong, missing = context.runs
    assert (wrong.returncode, missing.returncode) == (3, 2), (wrong, missing)
    assert '$.store.address: ' in wrong.stderr, wrong.stderr
    assert len(missing.stderr.splitlines()) == 1, missing.stderr
