"""Starts processes for scenarios and sends requests to them."""

import contextlib
import http.client
import json
import subprocess
import sys
import time

from free_ports import free_port

from tools.build_binary import ROOT

START_TIMEOUT_S = 20


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
    port = free_port()
    command = [sys.executable, '-m', 'standins.store', '--port', str(port)]
    process = subprocess.Popen(command, cwd=ROOT)
    context.stoppers.append(lambda: end_process(process))
    wait_for(port, '/hosts', process)
    return port
