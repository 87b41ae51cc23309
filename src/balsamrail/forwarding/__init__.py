"""Forwarding of requests to upstreams, with at-most-once execution of keyed requests."""

from balsamrail.exchange.crash_registry import CrashRegistry
from balsamrail.exchange.problem import problem_response
from balsamrail.exchange.response import Response
from balsamrail.forwarding.bound_key import BoundKey, make_key_prefix
from balsamrail.forwarding.caller_request import CallerRequest
from balsamrail.forwarding.claims import Claims
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.forward_handler import ForwardHandler
from balsamrail.forwarding.forwarder import Forwarder
from balsamrail.forwarding.http_server_options import http_server_options
from balsamrail.forwarding.key_table import KeyTable
from balsamrail.forwarding.unknown_path_handler import UnknownPathHandler

__all__ = (
    'BoundKey',
    'CallerRequest',
    'Claims',
    'ConnectionPool',
    'CrashRegistry',
    'ForwardHandler',
    'Forwarder',
    'KeyTable',
    'Response',
    'UnknownPathHandler',
    'http_server_options',
    'make_key_prefix',
    'problem_response',
)
