"""Steps of forward_handler.feature for one key sent to two hosts."""

import asyncio

from behave import then, when
from forwarding_parts import Members
from http_host import HttpHost, ask, start_upstream
from platform_helpers import make_member

from balsamrail.forwarding import make_key_prefix


@when('a caller sends the same keyed booking to two hosts')
def step_two_hosts(context):
    async def main():
        upstream = await start_upstream()
        members = Members()
        hosts = [
            HttpHost([upstream.address], members=members, host=name)
            for name in ('attiki-1', 'attiki-2')
        ]
        for host in hosts:
            settings, incarnation = host.environment.settings, host.environment.incarnation
            members[settings.host] = make_member(
                settings.host,
                incarnation=incarnation,
                caller_address=f'127.0.0.1:{host.port}',
            )
        expiry_wall_s = hosts[0].environment.clock.wall() + 60
        prefix = make_key_prefix(
            host='attiki-1',
            incarnation=hosts[0].environment.incarnation,
            expiry_wall_s=expiry_wall_s,
        )
        head = f'POST /services/bookings/echo HTTP/1.1\nHost: x\nIdempotency-Key: {prefix}.1\n'
        head += 'Content-Length: 4\n\n'
        answers = [await ask(host.port, head, body=b'book') for host in reversed(hosts)]
        for host in hosts:
            host.stop()
        upstream.stop()
        return len(upstream.heads), [(status, body) for status, _, body in answers]

    context.runs, context.answers = asyncio.run(main())


@then('both return the response of the single run')
def step_only_run(context):
    assert context.runs == 1
    assert context.answers == [(200, b'book')] * 2, context.answers
