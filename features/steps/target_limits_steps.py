"""Steps of target_limits.feature that send requests to targets."""

import asyncio

from behave import given, then, when
from delivery_parts import DeliveryHarness, response_to
from platform_helpers import run_real

WINDOW_S = 4


class LimitedTarget:
    """Responds with a limit, and records when requests arrive."""

    def __init__(self, limit):
        self.limit = limit
        self.arrived_at = []

    async def __call__(self, number, headers, writer):
        self.arrived_at.append(asyncio.get_running_loop().time())
        writer.write(response_to(headers, Server_Limit=self.limit))


async def answers(number, headers, writer):
    writer.write(response_to(headers))


def most_in_window(times, window_s=WINDOW_S):
    """Return the largest number of times within any window."""
    return max(
        (sum(start <= time < start + window_s for time in times) for start in times), default=0
    )


@given('a target that names a limit of {limit} requests a second, and one that responds')
def step_limited(context, limit):
    context.limited = LimitedTarget(limit)
    context.delivery = DeliveryHarness([context.limited, answers], other_hosts=())


@when('callers send {per_s:d} requests a second for {sent_for_s:d} s that prefer the first target')
def step_send_at_rate(context, per_s, sent_for_s):
    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        tasks = []
        for number in range(per_s * sent_for_s):
            tasks.append(asyncio.create_task(delivery.send(f'r-{number}', key=key)))
            await asyncio.sleep(1 / per_s)
        context.responses = await asyncio.gather(*tasks, return_exceptions=True)
        delivery.stop()

    run_real(play())


@then('the first target got at most {limit:d} requests in any 4 s')
def step_within_limit(context, limit):
    count = most_in_window(context.limited.arrived_at)
    assert 1 <= count <= limit, count


@then('every caller got a response')
def step_all_served(context):
    failures = [one for one in context.responses if isinstance(one, Exception)]
    assert not failures, failures[:3]
