"""Steps of target_load.feature."""

from behave import then, when
from tornado.httputil import HTTPHeaders

from balsamrail.delivery.http_message import HttpResponse
from balsamrail.platform.target_protocol import TargetProtocol


@when('a response tells the load "{text}"')
def step_tell(context, text):
    response = HttpResponse(
        status=200,
        reason='OK',
        headers=HTTPHeaders({'X-Server-Load': text}),
        body=b'',
        keep_alive=True,
        keep_alive_timeout_s=None,
    )
    context.load = TargetProtocol().decode_response(response).load


@then('the host reads {load}')
def step_read(context, load):
    found = context.load
    text = 'nothing'
    if found is not None:
        text = (
            f'{found.running} running, {found.waiting} waiting, {found.slots} slots, '
            f'x{found.slowdown:g}'
        )
    assert text == load, text
