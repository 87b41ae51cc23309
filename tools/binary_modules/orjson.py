"""Replaces the C module in the executable archive, limited to the functions that eliot uses."""

import json

OPT_SERIALIZE_NUMPY = 0


class JSONEncodeError(TypeError):
    """Raised by the C module; this replacement raises TypeError from json."""


def dumps(value, default=None, option=0):
    return json.dumps(value, default=default, separators=(',', ':')).encode()


def loads(text):
    return json.loads(text)
