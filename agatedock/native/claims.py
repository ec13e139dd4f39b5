"""Claims of keyed non-idempotent requests in the key-value service."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import enum
import uuid

import pydantic
from returns import result
import xxhash

from agatedock import errors
from agatedock import external

PREFIX = "agatedock/claims/"
BODY_MAX_BYTES = 65536
ACQUIRE_TRIES = 3
SAVE_TRIES = 3
SAVE_RETRY_S = 0.2


class State(enum.StrEnum):
    """States of a claim."""

    SENDING = "sending"
    NOT_RUN = "not_run"
    DONE = "done"


class Claim(pydantic.BaseModel):
    """A stored claim.

    Attributes:
      owner: Token of the one request that may be sent.
      request_digest: Digest of method, path and body, to tell reuse of a key.
      status: HTTP status of the answer once done.
      settled_by_ms: Wall-clock time in milliseconds after which a claim that
        is still being sent has an unknown outcome.
      body: Base64 of the answer; None if it was too large to keep.
    """

    owner: str
    request_digest: str
    settled_by_ms: int
    state: State = State.SENDING
    status: int = 0
    content_type: str = ""
    body: str | None = None

    def decode_body(self) -> bytes | None:
        """Returns the kept answer."""
        return None if self.body is None else base64.b64decode(self.body)


@dataclasses.dataclass(frozen=True)
class HeldClaim:
    """A claim that this router holds: its request may be sent once."""

    key: str
    claim: Claim
    version: int


def digest_request(method: str, path: str, body: bytes) -> str:
    """Returns a digest that tells one request from another."""
    head = f"{method} {path}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


def make_key(service: str, account: str, idempotency_key: str) -> str:
    """Returns where the claim of a request is stored."""
    identity = "\0".join((service, account, idempotency_key))
    return PREFIX + xxhash.xxh3_128_hexdigest(identity.encode())


def make_claim(request_digest: str, settled_by_ms: int) -> Claim:
    """Returns a new claim with an owner token of its own."""
    return Claim(
        owner=uuid.uuid4().hex,
        request_digest=request_digest,
        settled_by_ms=settled_by_ms,
    )


async def acquire(
    kv: external.KeyValue, key: str, new_claim: Claim, ttl_ms: int
) -> result.Result[HeldClaim, Claim]:
    """Claims a request, or returns the claim that was first.

    A claim whose answer was lost is recognised by its owner token.

    Raises:
      errors.Unavailable: Nothing is known; the request must not be sent.
    """
    data = new_claim.model_dump_json().encode()
    for _ in range(ACQUIRE_TRIES):
        entry = await _read_with_retry(kv, key)
        if entry is not None:
            stored = Claim.model_validate_json(entry.value)
            if stored.owner == new_claim.owner:
                return result.Success(HeldClaim(key, new_claim, entry.version))
            if stored.state != State.NOT_RUN:
                return result.Failure(stored)
        expected = entry.version if entry is not None else 0
        try:
            version = await kv.put(key, data, expected, ttl_ms)
            return result.Success(HeldClaim(key, new_claim, version))
        except (errors.Conflict, errors.Unavailable):
            continue
    raise errors.Unavailable("claim not settled")


async def _read_with_retry(
    kv: external.KeyValue, key: str
) -> external.Entry | None:
    """Reads a claim, once more if the first answer is lost."""
    try:
        return await kv.get(key)
    except errors.Unavailable:
        return await kv.get(key)


async def save(
    kv: external.KeyValue, held: HeldClaim, updated_claim: Claim, ttl_ms: int
) -> bool:
    """Stores what became of a claimed request; False if that failed.

    Without it a repeat is told that the outcome is unknown, and is not sent.
    """
    data = updated_claim.model_dump_json().encode()
    for _ in range(SAVE_TRIES):
        try:
            await kv.put(held.key, data, held.version, ttl_ms)
            return True
        except errors.Conflict:
            # Only the owner writes after the claim: an earlier try worked.
            return True
        except errors.Unavailable:
            await asyncio.sleep(SAVE_RETRY_S)
    return False


def mark_done(
    held: HeldClaim, status: int, content_type: str, body: bytes
) -> Claim:
    """Returns the claim of a request that was answered."""
    encoded_body = None
    if len(body) <= BODY_MAX_BYTES:
        encoded_body = base64.b64encode(body).decode()
    return held.claim.model_copy(
        update={
            "state": State.DONE,
            "status": status,
            "content_type": content_type,
            "body": encoded_body,
        }
    )


def mark_not_run(held: HeldClaim) -> Claim:
    """Returns the claim of a request that certainly did not run."""
    return held.claim.model_copy(update={"state": State.NOT_RUN})


async def release_unconfirmed(
    kv: external.KeyValue, key: str, new_claim: Claim, ttl_ms: int, tries: int
) -> None:
    """Frees a claim whose answer was lost and whose request was not sent.

    Without this a repeat would be told that the outcome is unknown.
    """
    for _ in range(tries):
        await asyncio.sleep(SAVE_RETRY_S)
        try:
            entry = await kv.get(key)
        except errors.Unavailable:
            continue
        if entry is None:
            return
        stored = Claim.model_validate_json(entry.value)
        if stored.owner == new_claim.owner and stored.state == State.SENDING:
            held = HeldClaim(key, new_claim, entry.version)
            await save(kv, held, mark_not_run(held), ttl_ms)
        return
