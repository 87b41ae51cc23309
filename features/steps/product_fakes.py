"""Small stand-ins for the parts that look-ups and the node use."""

import io
import json

from declaration_steps import VALID

from balsamrail.configuration import load_declaration
from balsamrail.environment import Environment
from balsamrail.logs import Log
from balsamrail.membership.member import Member
from balsamrail.settings import Settings, StoreSettings


def make_settings(**changes):
    fields = {
        'deployment': 'selokosmos',
        'host': 'attiki-a-0',
        'region': 'attiki',
        'availability_zone': 'attiki-a',
        'caller_address': '127.0.0.1:19001',
        'peer_address': '127.0.0.1:19002',
        'operator_address': '127.0.0.1:19003',
        'store': StoreSettings(address='127.0.0.1:19000'),
    }
    return Settings(**{**fields, **changes})


def make_environment(**changes):
    settings = make_settings(**changes)
    return Environment.create(settings=settings, log=Log(host=settings.host, output=io.StringIO()))


def make_member(host, zone, state='alive'):
    return Member(
        host=host,
        incarnation='0' * 20,
        refutation=0,
        state=state,
        peer_address='127.0.0.1:19002',
        caller_address='127.0.0.1:19001',
        region=zone.rsplit('-', 1)[0],
        availability_zone=zone,
    )


class FakeMembers:
    def __init__(self):
        zones = ('attiki-a', 'attiki-b', 'makedonia-a')
        hosts = [(f'{zone}-{number}', zone) for zone in zones for number in range(6)]
        self.by_host = {host: make_member(host, zone) for host, zone in hosts}
        self.left = False

    def nameable(self):
        return [member for member in self.by_host.values() if member.state == 'alive']

    def get(self, host):
        return self.by_host.get(host)

    def own(self):
        return self.by_host['attiki-a-0']

    def leave(self):
        self.left = True

    def finish(self):
        self.finished = self.left


class FakeTracker:
    def __init__(self):
        self.declaration = load_declaration(json.dumps(VALID))

    def for_caller(self, caller):
        return 7, self.declaration


class FakeRouter:
    def region_order(self, *, service, declaration, nearest):
        return [nearest, *(name for name in declaration.regions if name != nearest)]
