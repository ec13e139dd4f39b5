"""Edits of the fleet configuration in the platform's key-value service."""

from __future__ import annotations

import dataclasses
import enum

from returns import result

from agatedock import errors
from agatedock import external
from agatedock.fleet import documents

CURRENT_KEY = "agatedock/config/current"
HISTORY_PREFIX = "agatedock/config/history/"
READ_BACK_ATTEMPTS = 3


class RejectionCause(enum.Enum):
    """Why an edit was not accepted."""

    CONFLICT = "another operator was first"
    UNAVAILABLE = "the key-value service is out; nothing was accepted"
    UNKNOWN = "the key-value service went away; the outcome is unknown"
    STALE_STORE = "the key-value service shows an older state than the fleet"


@dataclasses.dataclass(frozen=True)
class Rejection:
    """An edit that was not accepted, with the winner's details if any."""

    cause: RejectionCause
    current: documents.Document | None = None

    def __str__(self) -> str:
        text = self.cause.value
        if self.current is not None:
            text += (
                f": revision {self.current.revision} by "
                f"{self.current.author} ({self.current.reason})"
            )
        return text


@dataclasses.dataclass(frozen=True)
class StoredDocument:
    """The stored document and the version its next edit must expect."""

    document: documents.Document
    version: int


async def read(kv: external.KeyValue) -> StoredDocument:
    """Returns the stored document; an empty one before the first edit."""
    entry = await kv.get(CURRENT_KEY)
    if entry is None:
        return StoredDocument(documents.Document(), 0)
    return StoredDocument(documents.decode(entry.value), entry.version)


async def commit(
    kv: external.KeyValue,
    edited: documents.Document,
    base: StoredDocument,
    fleet_revision: int,
    now_ms: int,
) -> result.Result[documents.Document, Rejection]:
    """Replaces the base document by compare-and-swap.

    Args:
      kv: The key-value service.
      edited: The checked new content with author and reason.
      base: What the operator started from.
      fleet_revision: Highest revision known to be in force on a router.
      now_ms: Wall-clock time in milliseconds.

    Returns:
      The accepted document, or why it was rejected. A lost answer is
      resolved by reading back before it is called unknown.
    """
    if fleet_revision > base.document.revision:
        return result.Failure(
            Rejection(RejectionCause.STALE_STORE, base.document)
        )
    new = edited.model_copy(
        update={"revision": base.document.revision + 1, "accepted_ms": now_ms}
    )
    try:
        await _save_history(kv, base)
    except errors.Unavailable:
        return result.Failure(Rejection(RejectionCause.UNAVAILABLE))
    try:
        await kv.put(CURRENT_KEY, documents.encode(new), base.version)
        return result.Success(new)
    except errors.Conflict:
        return await _resolve_conflict(kv, new)
    except errors.Unavailable:
        return await _resolve_unknown_outcome(kv, new, base)


async def _save_history(kv: external.KeyValue, base: StoredDocument) -> None:
    """Stores the document that is about to be replaced, once."""
    if base.version == 0:
        return
    key = _format_history_key(base.document.revision)
    try:
        await kv.put(key, documents.encode(base.document), 0)
    except errors.Conflict:
        return


def _format_history_key(revision: int) -> str:
    return f"{HISTORY_PREFIX}{revision:010d}"


async def _resolve_conflict(
    kv: external.KeyValue, new: documents.Document
) -> result.Result[documents.Document, Rejection]:
    try:
        stored = await read(kv)
        if await _was_accepted(kv, new, stored):
            return result.Success(new)
    except errors.Unavailable:
        return result.Failure(Rejection(RejectionCause.UNKNOWN))
    return result.Failure(Rejection(RejectionCause.CONFLICT, stored.document))


async def _was_accepted(
    kv: external.KeyValue, new: documents.Document, stored: StoredDocument
) -> bool:
    """Tells whether a document is current or was replaced since."""
    if stored.document == new:
        return True
    entry = await kv.get(_format_history_key(new.revision))
    return entry is not None and documents.decode(entry.value) == new


async def _resolve_unknown_outcome(
    kv: external.KeyValue, new: documents.Document, base: StoredDocument
) -> result.Result[documents.Document, Rejection]:
    """Finds out whether a write whose answer was lost took effect."""
    for _ in range(READ_BACK_ATTEMPTS):
        try:
            stored = await read(kv)
        except errors.Unavailable:
            continue
        if stored.version != base.version:
            return await _resolve_conflict(kv, new)
        # Nobody has written yet, but the lost write may still be under way:
        # writing the same document at the same version settles it.
        try:
            await kv.put(CURRENT_KEY, documents.encode(new), base.version)
            return result.Success(new)
        except errors.Conflict:
            return await _resolve_conflict(kv, new)
        except errors.Unavailable:
            continue
    return result.Failure(Rejection(RejectionCause.UNKNOWN))


async def read_history(
    kv: external.KeyValue, limit: int
) -> list[documents.Document]:
    """Returns the newest documents, the current one first."""
    stored = await read(kv)
    history = [stored.document]
    keys = await kv.list_keys(HISTORY_PREFIX)
    for key in sorted(keys, reverse=True)[: limit - 1]:
        entry = await kv.get(key)
        if entry is not None:
            history.append(documents.decode(entry.value))
    return history
