"""The recorded losses of hosts in the platform's store."""

from balsamrail.catalog.stored_objects import StoreObject
from balsamrail.errors import StoreError
from balsamrail.platform import fields
from balsamrail.platform.object_store import ObjectStore

_KIND = 'balsamrail-losses'
_NAME = 'agreed'


class LossStore:
    """Keeps the losses that the fleet has agreed on in one object.

    Hosts of earlier versions neither read nor write it. Implements
    :class:`~balsamrail.membership.loss_record.LossSource`.
    """

    __slots__ = ('_store',)

    def __init__(self, *, store: ObjectStore) -> None:
        self._store = store

    async def read_losses(self) -> list[str]:
        """Return the recorded losses.

        :raises StoreError: if the store did not answer, or not with a list of losses.
        """
        stored = await self._store.read(_KIND, _NAME)
        try:
            return [] if stored is None else _read_losses(stored)
        except fields.FIELD_ERRORS as error:
            raise StoreError(f'the recorded losses are malformed: {error!r}') from error

    async def write_losses(self, losses: list[str], *, is_stale_allowed: bool) -> None:
        """Replace the recorded losses, unless all of these are recorded already.

        A write costs ten times as much as the read that may show it to be needless. The object may be
        seconds old, so a write that fails because it exists by now has to be repeated.

        :param is_stale_allowed: false if the store has come back from a copy, and an old answer might
            show what it has lost.
        :raises StoreError: if the store did not accept them.
        """
        stored = await self._store.read(_KIND, _NAME, is_stale_allowed=is_stale_allowed)
        spec = {'losses': losses}
        if stored is None:
            await self._store.create(_KIND, _NAME, spec=spec)
        elif not _contains(stored, losses):
            await self._store.replace(_KIND, _NAME, spec=spec)


def _read_losses(stored: StoreObject) -> list[str]:
    return [fields.string(loss) for loss in fields.mapping(stored.spec)['losses']]


def _contains(stored: StoreObject, losses: list[str]) -> bool:
    try:
        return set(losses) <= set(_read_losses(stored))
    except fields.FIELD_ERRORS:
        return False
