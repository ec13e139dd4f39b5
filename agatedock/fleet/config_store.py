"""Stores the fleet configuration in the key-value service."""

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
    """Reason why an edit was rejected."""

    CONFLICT = "another operator was first"
    UNAVAILABLE = "the key-value service is unavailable; the edit was rejected"
    UNKNOWN = "the key-value service stopped replying; the outcome is unknown"
    STALE_STORE = "the key-value service has an older state than the fleet"


@dataclasses.dataclass(frozen=True)
class Rejection:
    """A rejected edit.

    Attributes:
      cause: Why it was rejected.
      current: The stored document that the edit conflicts with, if any.
    """

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
    """A stored document with its version for compare-and-swap.

    Attributes:
      version: Version of the key; 0 if nothing is stored.
    """

    document: documents.Document
    version: int


async def read(kv: external.KeyValue) -> StoredDocument:
    """Returns the stored document, or an empty one before the first edit.

    Raises:
      errors.Unavailable: The service did not reply.
      pydantic.ValidationError: The stored data is not a document.
    """
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
      edited: The validated new content with author and reason.
      base: The stored document that the edit replaces.
      fleet_revision: Highest revision that a router has applied.
      now_ms: Wall-clock time in milliseconds.

    Returns:
      The accepted document, or the rejection. After a lost reply the key is
      read again before the outcome is reported as unknown.
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
    """Stores the document to be replaced in the history, if not yet there."""
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
    """Returns whether a document is the current one or in the history."""
    if stored.document == new:
        return True
    entry = await kv.get(_format_history_key(new.revision))
    return entry is not None and documents.decode(entry.value) == new


async def _resolve_unknown_outcome(
    kv: external.KeyValue, new: documents.Document, base: StoredDocument
) -> result.Result[documents.Document, Rejection]:
    """Determines whether a write without a reply took effect."""
    for _ in range(READ_BACK_ATTEMPTS):
        try:
            stored = await read(kv)
        except errors.Unavailable:
            continue
        if stored.version != base.version:
            return await _resolve_conflict(kv, new)
        # The key is unchanged, but the first write may still be in flight.
        # Writing the same document at the same version resolves this: only
        # one of the two writes can succeed.
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
    """Returns up to `limit` documents, the current one first."""
    stored = await read(kv)
    history = [stored.document]
    keys = await kv.list_keys(HISTORY_PREFIX)
    for key in sorted(keys, reverse=True)[: limit - 1]:
        entry = await kv.get(key)
        if entry is not None:
            history.append(documents.decode(entry.value))
    return history
