"""Starts processes for scenarios and sends requests to them."""

import contextlib
import http.client
import json
import socket
import subprocess
import sys
import time

from tools.build_binary import ROOT

START_TIMEOUT_S = 20


def free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for entry in sockets:
            entry.bind(('127.0.0.1', 0))
        return [entry.getsockname()[1] for entry in sockets]


def fetch_json(port, path):
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=2)
    with contextlib.closing(connection):
        connection.request('GET', path)
        return json.loads(connection.getresponse().read())


def wait_for(port, path, process):
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        assert process.poll() is None, process.stderr and process.stderr.read()
        with contextlib.suppress(OSError):
            return fetch_json(port, path)
        time.sleep(0.05)
    raise AssertionError(f'no response from port {port}')


def end_process(process):
    if process.poll() is None:
        process.kill()
    process.wait()


def start_store(context):
    """Start the store stand-in as a process that ends with the scenario, and return its port."""
    (port,) = free_ports(1)
    command = [sys.executable, '-m', 'standins.store', '--port', str(port)]
    process = subprocess.Popen(command, cwd=ROOT)
    context.stoppers.append(lambda: end_process(process))
    wait_for(port, '/hosts', process)
    return port
