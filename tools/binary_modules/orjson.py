"""Takes the place of the C module in the executable archive, for what eliot uses of it."""

import json

OPT_SERIALIZE_NUMPY = 0


class JSONEncodeError(TypeError):
    """Raised by the C module; here json raises TypeError itself."""


def dumps(value, default=None, option=0):
    return json.dumps(value, default=default, separators=(',', ':')).encode()


def loads(text):
    return json.loads(text)
