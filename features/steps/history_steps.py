"""Steps of history.feature."""

from behave import given, then
from history import History


@given('the history {text}')
def step_history(context, text):
    context.history = history = History()
    calls = {}
    for entry in text.split('; '):
        match entry.split():
            case ['call', name]:
                calls[name] = history.call('k')
            case ['run', body]:
                history.run('k', body.encode())
            case ['end', name, told, *body]:
                history.end(calls[name], told, ''.join(body).encode())


@then('the checker finds "{fault}"')
def step_finds(context, fault):
    assert any(line.endswith(fault) for line in context.history.faults()), context.history.faults()


@then('the checker finds nothing')
def step_nothing(context):
    assert context.history.faults() == []
