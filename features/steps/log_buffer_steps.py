"""Steps of log_buffer.feature."""

import asyncio
import contextlib
import os
import re
import time

from behave import given, then, when
from platform_helpers import run_real

from balsamrail.log_buffer import LogBuffer


@given('a pipe that is not read')
def step_stuck(context):
    context.reads = False


@given('a pipe that is read intermittently')
def step_read(context):
    context.reads = True


@when('{count:d} lines of {size:d} bytes are logged')
def step_log(context, count, size):
    async def play():
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        buffer = LogBuffer(descriptor=writer)
        context.read = b''
        context.slowest_s = 0
        for number in range(count):
            started = time.monotonic()
            buffer.write(f'{number:09}'.ljust(size - 1, '.') + '\n')
            if number % 100 == 0:
                await asyncio.sleep(0)
            context.slowest_s = max(context.slowest_s, time.monotonic() - started)
            if context.reads and number % 500 == 0:
                await asyncio.sleep(0.06)
                context.read += read_all(reader)
        for _ in range(60):
            await asyncio.sleep(0.06)
            context.read += read_all(reader)
        buffer.close()
        os.close(writer)
        os.close(reader)

    run_real(play())


def read_all(reader):
    found = b''
    with contextlib.suppress(BlockingIOError):
        while True:
            found += os.read(reader, 1 << 20)
    return found


@then('no write blocks and the lines beyond 1 MB are counted')
def step_counted(context):
    assert context.slowest_s < 0.05, context.slowest_s
    lines = context.read.decode().splitlines()
    dropped = int(re.fullmatch(r'event=log_lines_dropped count=(\d+)', lines[-1]).group(1))
    assert len(lines) - 1 + dropped == 40_000, (len(lines), dropped)
    # 1 MB of lines is buffered, and the pipe itself holds at most 64 KB.
    assert len(lines) - 1 <= (1_048_576 + 65_536 + 4_096) / 100, len(lines)


@then('the reader receives all of them in order')
def step_in_order(context):
    numbers = [int(line.strip('.')) for line in context.read.decode().splitlines()]
    assert numbers == list(range(5_000)), len(numbers)
