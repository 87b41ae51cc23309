"""Steps of command_line.feature for the demo."""

import re
import subprocess
import sys

from behave import then, when

from tools.build_binary import ROOT


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
