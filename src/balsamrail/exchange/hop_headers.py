"""Headers that belong to one connection and are not passed on."""

from tornado.httputil import HTTPHeaders

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


def connection_options(headers: HTTPHeaders) -> frozenset[str]:
    """Return the lower-case options of the ``Connection`` header."""
    options = headers.get('Connection', '').split(',')
    return frozenset(option.strip().lower() for option in options)


def passed_on(headers: HTTPHeaders, *, without: frozenset[str]) -> HTTPHeaders:
    """Return a copy without hop-by-hop headers, those that ``Connection`` names, and ``without``.

    :param without: lower-case names that are removed as well.
    """
    excluded = _HOP_BY_HOP | connection_options(headers) | without
    forwarded = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in excluded:
            forwarded.add(name, value)
    return forwarded
