"""Hop-by-hop headers, which are not forwarded."""

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
# The header fields by which a body is read.
_FRAMING = frozenset(('Content-Length', 'Transfer-Encoding'))


def connection_options(headers: HTTPHeaders) -> frozenset[str]:
    """Return the options of the ``Connection`` header in lower case."""
    options = headers.get('Connection', '').split(',')
    return frozenset(option.strip().lower() for option in options)


def end_to_end_headers(headers: HTTPHeaders, *, without: frozenset[str]) -> HTTPHeaders:
    """Return a copy without hop-by-hop headers, including those named by ``Connection``.

    :param without: names of further headers to remove, in lower case.
    """
    excluded = _HOP_BY_HOP | connection_options(headers) | without
    forwarded = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in excluded:
            forwarded.add(name, value)
    return forwarded


def keep_framing(headers: HTTPHeaders) -> None:
    """Remove all fields but those by which the body is read; others may take hundreds of kB."""
    for name in tuple(headers):
        if name not in _FRAMING:
            del headers[name]
