"""Fakes of the components that lookups and the node depend on."""

import json

import platform_helpers
from declaration_steps import VALID

from balsamrail.configuration import load_declaration
from balsamrail.settings import StoreSettings

ADDRESSES = {
    'caller_address': '127.0.0.1:19001',
    'peer_address': '127.0.0.1:19002',
    'operator_address': '127.0.0.1:19003',
}


def make_settings(**changes):
    store = StoreSettings(address='127.0.0.1:19000')
    fields = {'host': 'attiki-a-0', 'store': store, **ADDRESSES, **changes}
    return platform_helpers.make_settings(**fields)


def make_environment(**changes):
    return platform_helpers.make_environment(**{'host': 'attiki-a-0', **ADDRESSES, **changes})


class FakeMembers:
    def __init__(self):
        zones = ('attiki-a', 'attiki-b', 'makedonia-a')
        hosts = [(f'{zone}-{number}', zone) for zone in zones for number in range(6)]
        self.by_host = {
            host: platform_helpers.make_member(host, region=zone[:-2], availability_zone=zone)
            for host, zone in hosts
        }
        self.left = False

    def advertised(self):
        return [member for member in self.by_host.values() if member.state == 'alive']

    def get(self, host):
        return self.by_host.get(host)

    def local_member(self):
        return self.by_host['attiki-a-0']

    def announce_ready(self):
        self.serves = True

    def announce_leaving(self):
        self.left = True

    def announce_stopped(self):
        self.finished = self.left


class FakeTracker:
    def __init__(self):
        self.declaration = load_declaration(json.dumps(VALID))

    def for_caller(self, caller):
        return 7, self.declaration


class FakeRouter:
    def region_order(self, *, service, declaration, nearest_region):
        return [nearest_region, *(name for name in declaration.regions if name != nearest_region)]
