"""Submission of a declaration by an operator."""

import json
from typing import Any

from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.checks import load_declaration
from balsamrail.configuration.differences import differing_paths
from balsamrail.configuration.record import RECORD_NAME, Record, decode_record, encode_record
from balsamrail.configuration.record_changes import with_declaration
from balsamrail.configuration.submit_conflict import SubmitConflict
from balsamrail.configuration.submitted import Submitted
from balsamrail.environment import Environment
from balsamrail.errors import (
    DocumentError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from balsamrail.store import Store, VerifiedWrite
from balsamrail.store.versions import split_version

# A retry is needed when a trial ends between the read and the write.
_MAX_ATTEMPTS = 4


async def submit_declaration(
    *,
    environment: Environment,
    store: Store,
    text: str | bytes,
    author: str,
    base_revision: int | None = None,
) -> Submitted | SubmitConflict:
    """Write a declaration into the record, on trial or accepted depending on its ``trial``.

    :param text: the declaration as JSON.
    :param author: the operator who submits it.
    :param base_revision: the revision that the text was edited from, 0 for none. Defaults to the
        newest revision, unless that is another author's candidate, which is a conflict.
    :raises DocumentError: if the text or the record in the store is invalid.
    :raises StoreError: if the store does not respond;
        :class:`balsamrail.errors.StoreOutcomeUnknownError` if the text may be in force.
    """
    submission = _Submission(environment=environment, store=store, text=text, author=author)
    return await submission.submit(base_revision)


class _Submission:
    """The submission of one declaration."""

    __slots__ = ('_author', '_document', '_environment', '_store', '_trial')

    def __init__(
        self, *, environment: Environment, store: Store, text: str | bytes, author: str
    ) -> None:
        self._trial = load_declaration(text).trial
        self._document: dict[str, Any] = json.loads(text)
        self._environment = environment
        self._store = store
        self._author = author

    async def submit(self, base_revision: int | None) -> Submitted | SubmitConflict:
        version = 0
        for _ in range(_MAX_ATTEMPTS):
            record, version = await self._read()
            if record is not None:
                known = self._check_base(record, base_revision)
                if known is not None:
                    return known
            base_revision = record.newest.revision if record else 0
            try:
                return await self._write(record, version=version)
            except StoreConflictError:
                self._environment.log.event('submit_conflict', version=version)
        raise StoreConflictError(name=RECORD_NAME, version=version)

    def _check_base(
        self, record: Record, base_revision: int | None
    ) -> Submitted | SubmitConflict | None:
        """Return the result if no write is needed or allowed, else ``None``."""
        if not differing_paths(record.newest.text, self._document):
            return _submitted(record)
        if base_revision is None:
            candidate = record.candidate
            if candidate is None or candidate.author == self._author:
                return None
        return None if record.newest.revision == base_revision else self._conflict(record)

    async def _read(self) -> tuple[Record | None, int]:
        found = await self._store.read(RECORD_NAME)
        if found is None:
            return None, self._store.era.absent_version
        return decode_record(found.value), found.version

    async def _write(self, record: Record | None, *, version: int) -> Submitted | SubmitConflict:
        changed = with_declaration(
            record,
            text=self._document,
            author=self._author,
            since=self._environment.clock.wall(),
            trial=self._trial,
            era=split_version(version)[0],
        )
        write = VerifiedWrite(environment=self._environment, store=self._store)
        try:
            await write.write(RECORD_NAME, value=encode_record(changed), version=version)
        except StoreOutcomeUnknownError as error:
            return await self._resolve_outcome(changed.newest.revision, error=error)
        return _submitted(changed)

    async def _resolve_outcome(
        self, revision: int, *, error: StoreOutcomeUnknownError
    ) -> Submitted | SubmitConflict:
        """Find the text by its revision, since a later write has replaced the mark."""
        try:
            record, _ = await self._read()
        except (StoreError, DocumentError):
            raise error
        if record is None:
            raise error
        for kept in (record.accepted, record.candidate):
            if kept is not None and kept.revision == revision:
                if differing_paths(kept.text, self._document):
                    return self._conflict(record)
                return Submitted(
                    number=record.number, revision=revision, accepted=kept is record.accepted
                )
        raise error

    def _conflict(self, record: Record) -> SubmitConflict:
        newest = record.newest
        return SubmitConflict(
            number=record.number,
            revision=newest.revision,
            author=newest.author if isinstance(newest, Candidate) else '',
            text=newest.text,
            paths=differing_paths(newest.text, self._document),
        )


def _submitted(record: Record) -> Submitted:
    return Submitted(
        number=record.number,
        revision=record.newest.revision,
        accepted=record.candidate is None,
    )
