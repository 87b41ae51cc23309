"""Scaling of forwarding: processor time of requests and memory of pooled connections."""

import asyncio
import socket
import statistics
import time

from balsamrail.forwarding.upstream_connection import UpstreamConnection
from benchmarks import forwarding
from benchmarks.capacity_model import environment_for
from benchmarks.measure import Traced
from benchmarks.slope import Slope, fit_slope, measure_slope

REQUESTS = (100, 200, 400, 800)
CONNECTIONS = (25, 50, 100, 200)
_REPEATS = 5
_US_IN_S = 1_000_000


async def _call(port: int, requests: int) -> float:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    started = time.process_time()
    for _ in range(requests):
        writer.write(b'GET /services/diary/today HTTP/1.1\r\nHost: bench\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(1024)
    used_s = time.process_time() - started
    writer.close()
    return used_s * _US_IN_S


async def _requests_us() -> list[float]:
    server = await asyncio.start_server(forwarding.serve_upstream, '127.0.0.1', 0)
    direct = server.sockets[0].getsockname()[1]
    port = forwarding.make_forward_port(f'127.0.0.1:{direct}')
    await _call(port, REQUESTS[0])
    measured = []
    for requests in REQUESTS:
        # Callers and the upstream share the process, so their cost is subtracted.
        costs = [
            await _call(port, requests) - await _call(direct, requests) for _ in range(_REPEATS)
        ]
        measured.append(statistics.median(costs))
    server.close()
    return measured


async def _connections_bytes(count: int) -> int:
    """Return the memory of connections that only the kernel accepts, without a server object."""
    environment = environment_for('host-0')
    with socket.create_server(('127.0.0.1', 0), backlog=512) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        loop = asyncio.get_running_loop()
        with Traced() as traced:
            kept = []
            for _ in range(count):
                connection = UpstreamConnection(environment=environment, address=address)
                await connection.connect(deadline=loop.time() + 5)
                kept.append(connection)
        for connection in kept:
            connection.close()
    return traced.kept


def slopes() -> list[Slope]:
    """Return the fitted slopes."""
    return [
        fit_slope(
            name='forwarding.processor_us against requests',
            unit='us/request',
            sizes=REQUESTS,
            measured=asyncio.run(_requests_us()),
        ),
        measure_slope(
            'forwarding.kept_connection_bytes against connections',
            unit='B/connection',
            sizes=CONNECTIONS,
            measure=lambda size: asyncio.run(_connections_bytes(size)),
        ),
    ]
