"""Steps of binary.feature."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from free_ports import free_port
from process_helpers import end_process, fetch_json, start_store, wait_for
from product_fakes import make_settings

from balsamrail.documents import encode_value
from tools.build_binary import build

# The Python installation, without the virtual environment and its libraries.
PYTHON = Path(sys.executable).resolve()
SYSTEM_FOLDERS = ('/usr/lib', '/lib', str(PYTHON.parent.parent))
# The host opens and closes connections meanwhile.
FD_SAMPLES = 20
DEVICES = ('/dev/null', '/dev/urandom', '[', 'socket:', 'pipe:', 'anon_inode:')


@given('the executable file and a store')
def step_build(context):
    folder = tempfile.TemporaryDirectory()
    context.stoppers = [folder.cleanup]
    context.folder = Path(folder.name)
    context.executable = build(context.folder / 'balsamrail')
    store = start_store(context)
    context.ports = [free_port() for _ in range(3)]
    settings = encode_value(value=make_settings())
    for name, port in zip(('caller', 'peer', 'operator'), context.ports, strict=True):
        settings[f'{name}_address'] = f'127.0.0.1:{port}'
    settings['store']['address'] = f'127.0.0.1:{store}'
    settings['limits']['lookup_ttl_s'] = 0.1
    context.settings = context.folder / 'settings.json'
    context.settings.write_text(json.dumps(settings))


@when('a host runs from the executable with no other library on the path')
def step_start(context):
    context.temporary = context.folder / 'temporary'
    context.temporary.mkdir()
    command = [PYTHON, '-I', '-S', context.executable, 'node', '--settings', context.settings]
    context.process = subprocess.Popen(
        command,
        env={'TMPDIR': str(context.temporary)},
        stdin=subprocess.DEVNULL,
        # If inherited, an output file of the test run would count as opened by the host.
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        cwd='/',
    )
    context.stoppers.append(context.process.stderr.close)
    context.stoppers.append(lambda: end_process(context.process))
    status = wait_for(context.ports[2], '/status', context.process)
    assert status['state'] == 'serving', status
    dump = fetch_json(context.ports[2], '/dump')
    assert not dump['node']['tasks']['failures'], dump['node']
    context.proc = Path('/proc', str(context.process.pid))


@then('the process has no child and was not started through another process')
def step_children(context):
    children = [path.read_text() for path in context.proc.glob('task/*/children')]
    assert children and not any(children), children
    assert f'PPid:\t{os.getpid()}\n' in (context.proc / 'status').read_text()


@then('it has no regular file open or mapped outside the Python installation and the executable')
def step_open_files(context):
    links = [link for _ in range(FD_SAMPLES) for link in open_links(context)]
    mapped = {line.split(maxsplit=5)[5] for line in mapped_lines(context) if '/' in line}
    foreign = [
        name
        for name in {*links, *mapped}
        if not name.startswith((*SYSTEM_FOLDERS, *DEVICES)) and name != str(context.executable)
    ]
    assert not foreign, foreign
    assert not any('site-packages' in name for name in mapped), mapped


@then('it maps no shared memory')
def step_shared(context):
    shared = [line for line in mapped_lines(context) if line.split()[1][3] == 's']
    # The C library maps its read-only cache of character conversions as shared memory.
    assert not [line for line in shared if 'gconv-modules.cache' not in line], shared


@then('the folder for temporary files is empty')
def step_temporary(context):
    assert not list(context.temporary.iterdir())


@then('SIGTERM ends it with exit code 0')
def step_end(context):
    context.process.send_signal(signal.SIGTERM)
    assert context.process.wait(timeout=15) == 0


def open_links(context):
    """Yield what the open descriptors lead to, except those closed since they were listed."""
    for path in (context.proc / 'fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            yield os.readlink(path)


def mapped_lines(context):
    return [line.strip() for line in (context.proc / 'maps').read_text().splitlines()]
