"""Messages that libraries log, written as lines of this host's log."""

import logging

from balsamrail.logs import Log


class LibraryLogHandler(logging.Handler):
    """Writes what tornado and asyncio log as ``library_log`` events.

    Without it their messages would go to standard error as free text, between the
    key=value lines::

        logging.getLogger().addHandler(LibraryLogHandler(log=environment.log))
    """

    def __init__(self, *, log: Log) -> None:
        super().__init__(level=logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; the trace of an exception is cut to its last part."""
        fields: dict[str, object] = {
            'logger': record.name,
            'level': record.levelname.lower(),
            'text': record.getMessage(),
        }
        if record.exc_info and record.exc_info[1]:
            fields['error'] = repr(record.exc_info[1])
        self._log.event('library_log', **fields)
