"""Steps of command_line.feature."""

import asyncio
import contextlib
import io
import json
import shlex
import tempfile
from pathlib import Path

from behave import given, then, when
from declaration_steps import VALID
from process_helpers import start_store
from product_fakes import make_settings

from balsamrail.cli import main
from balsamrail.cli.progress import with_progress
from balsamrail.documents import encode_value


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


@given('a store configured in the settings')
def step_store(context):
    path = Path(context.folder, 'settings.json')
    settings = json.loads(path.read_text())
    settings['store']['address'] = f'127.0.0.1:{start_store(context)}'
    path.write_text(json.dumps(settings))


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


@when('operations that take {short:g} s and {long:g} s are awaited')
def step_wait(context, short, long):
    context.waits = []
    for duration in (short, long):
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            asyncio.run(with_progress(asyncio.sleep(duration), text='waiting for the store'))
        context.waits.append(output.getvalue())


@then('standard error shows progress only for the longer operation')
def step_named(context):
    assert context.waits == ['', 'waiting for the store ...\n']
