"""Manifests with customers, and requests with API keys, for the steps about customers."""

import time
from types import SimpleNamespace

from delivery_parts import response_to
from tornado.httputil import HTTPHeaders, RequestStartLine

from balsamrail.errors import RequestError
from balsamrail.platform.caller_codec import decode_request
from balsamrail.platform.manifest_reader import read_manifest

HOST_NAME = 'lepu.example'
ACME_KEY = 'k-acme-7d1f'
ACME_OLD_KEY = 'k-acme-old-22'
BRIO_KEY = 'k-brio-90aa'
ROUTES = {'/read/': {}, '/write/': {'kind': 'transactional'}, '/open/': {'anonymous': True}}
SERVICES = [
    {
        'entryKind': 'services',
        'metadata': {'name': name},
        'spec': {'healthPath': '/health', 'maxConnections': 100},
    }
    for name in ('lepu', 'mora')
]


def customer(name, *keys, **spec):
    """Return a customer entry of the manifest."""
    return {
        'entryKind': 'tenants',
        'metadata': {'name': name},
        'spec': {'apiKeys': list(keys), **spec},
    }


ACME = customer('acme', ACME_KEY, ACME_OLD_KEY)
BRIO = customer('brio', BRIO_KEY)


def manifest_spec(*entries, version=2, routes=None):
    """Return the manifest object with the entries besides the routes, by path prefix."""
    return {
        'version': version,
        'resources': [
            *(
                {
                    'entryKind': 'routes',
                    'metadata': {'name': prefix},
                    'spec': {
                        'host': HOST_NAME,
                        'pathPrefix': prefix,
                        'kind': 'idempotent',
                        'timeoutS': 2,
                        'maxAttempts': 3,
                        'priority': 2,
                        'service': 'lepu',
                        **spec,
                    },
                }
                for prefix, spec in (ROUTES if routes is None else routes).items()
            ),
            *SERVICES,
            *entries,
        ],
    }


def manifest(*entries, version=2, routes=None):
    return read_manifest(manifest_spec(*entries, version=version, routes=routes))


class Freshness:
    """A freshness that the steps set."""

    def __init__(self, *, confirmed=True):
        self.confirmed = confirmed

    def is_confirmed(self):
        return self.confirmed


def make_request(path='/read/x', *, request_id='r-1', is_from_peer=False, **fields):
    """Return a request as the adapter decodes it; ``_`` in the names of header fields is a dash."""
    headers = HTTPHeaders({'Host': HOST_NAME, 'X-Request-Id': request_id})
    for name, value in fields.items():
        # As the connection decodes it.
        headers.add(name.replace('_', '-'), value.encode().decode('latin-1'))
    # The clock of event loops.
    stream = SimpleNamespace(consumed_at=time.monotonic, is_from_peer=is_from_peer)
    return decode_request(RequestStartLine('GET', path, 'HTTP/1.1'), headers, stream=stream)


async def outcome_of(delivery, request):
    """Return the response to a request, or the error."""
    try:
        return await delivery.dispatcher.handle(request)
    except RequestError as error:
        return error


def received(target, number=-1):
    """Return the header fields of a request that a target received, by name in lower case."""
    lines = target.heads[number].split('\r\n')[1:-2]
    return {name.lower(): value for name, _, value in (line.partition(': ') for line in lines)}


async def respond(number, headers, writer):
    writer.write(response_to(headers))
