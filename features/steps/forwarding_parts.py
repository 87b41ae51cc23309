"""Test doubles for the collaborators of forwarding, and a raw upstream server."""

import asyncio

import platform_helpers

from balsamrail.configuration import Declaration, Region, Route, Service, Target
from balsamrail.errors import NoTargetError
from balsamrail.settings import Limits


def make_environment(host='attiki-1', memory_mb=300, **limits):
    return platform_helpers.make_environment(
        host=host, memory_mb=memory_mb, limits=Limits(**limits)
    )


def make_declaration(addresses, **fields):
    targets = [
        Target(address=address, availability_zone='attiki-a', slots=4) for address in addresses
    ]
    routes = [
        Route(methods=['GET', 'HEAD'], idempotent=True),
        Route(methods=['POST'], path='/lookups', idempotent=True),
    ]
    service = Service(targets=targets, routes=routes, **fields)
    regions = {'attiki': Region(availability_zones=['attiki-a'])}
    return Declaration(deployment='selokosmos', regions=regions, services={'bookings': service})


class Tracker:
    def __init__(self, declaration):
        self.declaration = declaration

    def for_caller(self, caller):
        return 1, self.declaration


class Admission:
    def __init__(self, target):
        self.target = target
        self.results = []

    def close(self, result, *, latency_s=0):
        self.results.append(result.value)


class Router:
    """Admits to the first target that was not tried, or raises ``refusal`` if it is set."""

    def __init__(self):
        self.admissions = []
        self.refusal = None

    async def admit_with_borrowing(
        self, *, service, declaration, route, tried_addresses=frozenset(), limit_s=0
    ):
        if self.refusal is not None:
            raise self.refusal
        for target in declaration.services[service].targets:
            if target.address not in tried_addresses:
                self.admissions.append(Admission(target))
                return self.admissions[-1]
        raise NoTargetError(detail='all targets were tried')


class Members(dict):
    """Members by host."""


class PeerNetwork:
    def __init__(self):
        self.flooded = []
        self.receivers = []

    def subscribe(self, kind, receive):
        self.receivers.append(receive)

    def flood(self, message, *, topic, version):
        self.flooded.append(message)

    def repeat_to_peers(self, messages):
        self.repeated = messages


class RawUpstream:
    """Calls ``answer(number, head, writer)`` for each request; ``answer`` may write anything."""

    def __init__(self, answer):
        self.answer = answer
        self.heads = []
        self.bodies = []
        self.connections = 0
        self.open_count = 0
        self.closed_early = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'
        return self

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        self.open_count += 1
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                lines = [line.partition(': ') for line in head.split('\r\n')[1:-2]]
                headers = {name.lower(): value for name, _, value in lines}
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                self.heads.append(head)
                self.bodies.append(body)
                await self._watched(reader, self.answer(len(self.heads), headers, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_count -= 1
            writer.close()

    async def _watched(self, reader, answering):
        answer = asyncio.ensure_future(answering)
        while not answer.done():
            if reader.at_eof() or reader.exception():
                self.closed_early += 1
                answer.cancel()
                raise ConnectionError
            await asyncio.wait([answer], timeout=0.005)
        answer.result()


def whole(body=b'whole', **headers):
    lines = ''.join(f'{name.replace("_", "-")}: {value}\r\n' for name, value in headers.items())
    return f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{lines}\r\n'.encode() + body
