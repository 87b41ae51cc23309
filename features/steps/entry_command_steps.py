"""Steps of command_line.feature about the module that starts an entry host."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

from tools.build_binary import ROOT


@when('the module that starts an entry host is imported in a process of its own')
def step_import_entry(context):
    # __main__ imports serve only when it is run, after it has ignored SIGHUP.
    code = 'import sys, balsamrail.entry.__main__, balsamrail.entry.serve; print(*sys.modules)'
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


@when(
    'the module that starts an entry host fails in a process that tells when it frees its objects'
)
def step_fail_telling(context):
    code = (
        'import atexit, runpy, sys; atexit.register(print, "freed"); print("begun"); '
        'sys.argv = ["balsamrail.entry", "/missing"]; '
        'runpy.run_module("balsamrail.entry", run_name="__main__", alter_sys=True)'
    )
    context.done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=False, cwd=ROOT
    )


@then('the process has the exit code and the message of the failure, and has freed nothing')
def step_ended_at_once(context):
    done = context.done
    assert done.returncode == 2 and '/missing' in done.stderr, (done.returncode, done.stderr)
    assert done.stdout.split() == ['begun'], done.stdout
