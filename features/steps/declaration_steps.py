"""Steps of declaration.feature."""

import json

from behave import given, then, when

from balsamrail.configuration import load_declaration
from balsamrail.errors import DocumentError

VALID = {
    'deployment': 'selokosmos',
    'regions': {
        'attiki': {'availability_zones': ['attiki-a', 'attiki-b']},
        'makedonia': {'availability_zones': ['makedonia-a']},
    },
    'services': {
        'diary': {
            'targets': [
                {'address': '127.0.0.1:9001', 'availability_zone': 'attiki-a', 'slots': 4},
            ],
            'depends_on': {'bookings': 0.5},
        },
        'bookings': {
            'targets': [
                {'address': '127.0.0.1:9002', 'availability_zone': 'attiki-b', 'slots': 3},
            ],
        },
    },
}


def read_faults(text):
    try:
        load_declaration(text)
    except DocumentError as error:
        return error.faults
    return []


@given('a valid declaration')
def step_valid(context):
    context.document = json.loads(json.dumps(VALID))
    assert read_faults(json.dumps(VALID)) == []


@when('the text "{text}" is read as a declaration')
def step_read(context, text):
    context.faults = read_faults(text)


@when('{path} is set to {value}')
def step_set(context, path, value):
    *parents, last = path.split('.')
    place = context.document
    for parent in parents:
        place = place[int(parent)] if parent.isdigit() else place[parent]
    place[last] = json.loads(value)
    context.faults = read_faults(json.dumps(context.document))


@then('the fault "{fault}" is reported')
def step_fault(context, fault):
    assert any(line.startswith(fault) for line in context.faults), context.faults
