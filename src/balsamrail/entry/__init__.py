"""The process of an entry host on the users' platform."""

from balsamrail.entry.entry_host import EntryHost

__all__ = ('EntryHost',)
