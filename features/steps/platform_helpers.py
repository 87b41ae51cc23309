"""Helpers for steps that use the stand-ins of the platform."""

import asyncio

from free_ports import free_address

from balsamrail.environment import Environment
from balsamrail.logs import Log
from balsamrail.membership.member import Member
from balsamrail.settings import Settings, StoreSettings


class RecordedLog:
    """A log output that records its lines."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        self.lines.append(text)


def make_settings(**changes):
    fields = {
        'deployment': 'selokosmos',
        'host': 'attiki-a-1',
        'region': 'attiki',
        'availability_zone': 'attiki-a',
        'caller_address': '127.0.0.1:1',
        'peer_address': '127.0.0.1:2',
        'operator_address': '127.0.0.1:3',
        'store': StoreSettings(address='127.0.0.1:1'),
    }
    return Settings(**{**fields, **changes})


def make_environment(*, store_address='127.0.0.1:1', timeout_s=2, watch_s=30, log=None, **changes):
    store = StoreSettings(address=store_address, timeout_s=timeout_s, watch_s=watch_s)
    settings = make_settings(**{'store': store, **changes})
    output = RecordedLog() if log is None else log
    return Environment.create(settings=settings, log=Log(host=settings.host, output=output))


def make_member(host, **changes):
    fields = {
        'incarnation': '0' * 20,
        'refutation': 0,
        'state': 'alive',
        'peer_address': '127.0.0.1:1',
        'caller_address': '127.0.0.1:2',
        'region': 'attiki',
        'availability_zone': 'attiki-a',
    }
    return Member(host=host, **{**fields, **changes})


def process_settings(**changes):
    """Return the settings file of a host process on free addresses, as plain data."""
    names = ('caller', 'lookup', 'readiness', 'peer', 'operator')
    return {
        'deployment': 'platform',
        'host': 'attiki-1',
        'region': 'attiki',
        'availability_zone': 'attiki-a',
        **{f'{name}_address': free_address() for name in names},
        **changes,
    }


def run_real(main, *, limit_s=20):
    async def bounded():
        async with asyncio.timeout(limit_s):
            return await main

    return asyncio.run(bounded())
