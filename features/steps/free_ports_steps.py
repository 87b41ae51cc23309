"""Steps of free_ports.feature."""

from pathlib import Path

from behave import then, when
from platform_helpers import process_settings


@when('the settings of {count:d} hosts are made')
def step_settings(context, count):
    settings = [process_settings() for _ in range(count)]
    context.addresses = [
        value for each in settings for name, value in each.items() if name.endswith('_address')
    ]


@then('no two of their addresses are equal')
def step_distinct(context):
    assert len(set(context.addresses)) == len(context.addresses) == 2_000


@then('the kernel assigns none of their ports to other sockets')
def step_outside(context):
    limits = Path('/proc/sys/net/ipv4/ip_local_port_range').read_text().split()
    first, last = (int(limit) for limit in limits)
    ports = [int(address.rpartition(':')[2]) for address in context.addresses]
    assert not [port for port in ports if first <= port <= last]
