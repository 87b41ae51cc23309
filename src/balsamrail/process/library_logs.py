"""Forwards log messages of libraries to this host's log."""

import logging

from balsamrail.logs import Log


class LibraryLogHandler(logging.Handler):
    """Writes log records of tornado and asyncio as ``library_log`` events.

    Without this handler their messages would be written to standard error as free text, between
    the key=value lines::

        logging.getLogger().addHandler(LibraryLogHandler(log=environment.log))
    """

    def __init__(self, *, log: Log) -> None:
        super().__init__(level=logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, with only the exception itself in place of its traceback."""
        fields: dict[str, object] = {
            'logger': record.name,
            'level': record.levelname.lower(),
            'text': record.getMessage(),
        }
        if record.exc_info and record.exc_info[1]:
            fields['error'] = repr(record.exc_info[1])
        self._log.event('library_log', **fields)
