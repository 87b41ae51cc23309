"""Reloads the settings file when it changes."""

import asyncio
from pathlib import Path
from typing import Any

from balsamrail.documents import decode_document
from balsamrail.environment import Environment
from balsamrail.errors import DocumentError
from balsamrail.settings import Settings

_POLL_INTERVAL_S = 1.0


class SettingsFile:
    """Applies a changed settings file, immediately at SIGHUP and otherwise within a second.

    If the file is unreadable or invalid, the current settings stay in force. Changed listening
    addresses take effect only after a restart.

    :param path: the settings file, ``None`` if the settings do not come from a file.
    """

    __slots__ = ('_environment', '_path', '_reload_requested', '_text')

    def __init__(self, *, environment: Environment, path: str | None) -> None:
        self._environment = environment
        self._path = path
        self._reload_requested = asyncio.Event()
        self._text = self._read() if path else None

    def reload(self) -> None:
        """Request an immediate reload, also of an unchanged file."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Apply changes of the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_POLL_INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                self._apply(is_requested=False)
            else:
                self._reload_requested.clear()
                self._apply(is_requested=True)

    def dump(self) -> dict[str, Any]:
        """Return the path of the settings file."""
        return {'path': self._path}

    def _apply(self, *, is_requested: bool) -> None:
        text = self._read() if self._path else None
        if text is None or (text == self._text and not is_requested):
            return
        is_changed = text != self._text
        self._text = text
        try:
            settings = decode_document(text=text, kind=Settings)
        except DocumentError as error:
            self._environment.log.event('settings_rejected', faults='; '.join(error.faults))
            return
        self._environment.settings = settings
        self._environment.log.event('settings_reloaded', changed=is_changed)

    def _read(self) -> str | None:
        try:
            return Path(self._path or '').read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            self._environment.log.event('settings_unreadable', reason=error)
            return None
