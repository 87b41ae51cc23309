"""The recorded losses of hosts in the platform's store."""

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
        if stored is None:
            return []
        try:
            return [fields.string(loss) for loss in fields.mapping(stored.spec)['losses']]
        except fields.FIELD_ERRORS as error:
            raise StoreError(f'the recorded losses are malformed: {error!r}') from error

    async def write_losses(self, losses: list[str]) -> None:
        """Replace the recorded losses.

        :raises StoreError: if the store did not accept them.
        """
        await self._store.create_or_replace(_KIND, _NAME, spec={'losses': losses})
