import contextlib
import io
import sys
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when

from benchmarks import run
from benchmarks.figure import Figure


@given('an earlier benchmark run of which one figure doubled beyond its bound')
def step_earlier(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.earlier = Path(directory.name, 'earlier.jsonl')
    context.earlier.write_text(Figure(name='waits', value=2, unit='ms', bound=3).line() + '\n')


@when('the benchmarks are compared with it')
def step_compare(context):
    figures = {'waits': lambda: [Figure(name='waits', value=4, unit='ms', bound=3)]}
    arguments = ['run', 'waits', '--compare', str(context.earlier)]
    with (
        mock.patch.object(sys, 'argv', arguments),
        mock.patch.object(run, '_RUN_BY_MODULE', figures),
        contextlib.redirect_stdout(io.StringIO()),
        contextlib.redirect_stderr(io.StringIO()) as context.rows,
    ):
        context.code = run.main()


@then('the benchmark run exits with {code:d} and the comparison shows the ratio {ratio}')
def step_code(context, code, ratio):
    assert context.code == code
    assert context.rows.getvalue() == f'waits: {ratio}\n', context.rows.getvalue()
