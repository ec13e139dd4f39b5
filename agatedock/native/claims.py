"""Claims: idempotency records in the key-value service.

A router acquires the claim of an idempotency key before it sends the request,
and saves the outcome in it afterwards. Compare-and-swap on the entry's version
ensures that at most one router sends the request.
"""

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
    """States of a claim.

    A claim stays SENDING if its router ends before it saves the outcome.
    """

    SENDING = "sending"
    NOT_RUN = "not_run"
    DONE = "done"


class Claim(pydantic.BaseModel):
    """A stored claim.

    Attributes:
      owner: Random token of the request that acquired the claim; only this
        request may be sent.
      request_digest: Digest of method, path and body; detects a key that is
        reused for another request.
      status: HTTP status of the response in state DONE.
      settled_by_ms: Wall-clock time in milliseconds. A claim that is still in
        state SENDING after it has an unknown outcome.
      content_type: Content type of the response in state DONE.
      body: Base64 of the response body; None if it was larger than
        BODY_MAX_BYTES.
    """

    owner: str
    request_digest: str
    settled_by_ms: int
    state: State = State.SENDING
    status: int = 0
    content_type: str = ""
    body: str | None = None

    def decode_body(self) -> bytes | None:
        """Returns the stored response body, None if none is stored."""
        return None if self.body is None else base64.b64decode(self.body)


@dataclasses.dataclass(frozen=True)
class HeldClaim:
    """A claim that this router acquired; its request may be sent once.

    Attributes:
      key: Key of the claim in the key-value service.
      claim: The claim as it was acquired.
      version: Version of the entry, for the next compare-and-swap.
    """

    key: str
    claim: Claim
    version: int


def digest_request(method: str, path: str, body: bytes) -> str:
    """Returns a digest of method, path and body."""
    head = f"{method} {path}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


def make_key(service: str, account: str, idempotency_key: str) -> str:
    """Returns the key under which the claim of a request is stored."""
    identity = "\0".join((service, account, idempotency_key))
    return PREFIX + xxhash.xxh3_128_hexdigest(identity.encode())


def make_claim(request_digest: str, settled_by_ms: int) -> Claim:
    """Returns a claim in state SENDING with a new owner token."""
    return Claim(
        owner=uuid.uuid4().hex,
        request_digest=request_digest,
        settled_by_ms=settled_by_ms,
    )


async def acquire(
    kv: external.KeyValue, key: str, new_claim: Claim, ttl_ms: int
) -> result.Result[HeldClaim, Claim]:
    """Writes a claim unless another request holds it.

    The owner token identifies a claim of this request whose write took effect
    although its response was lost.

    Returns:
      Success with the acquired claim, or Failure with the stored claim of an
      earlier request.

    Raises:
      errors.Unavailable: It is unknown who holds the claim; the request must
        not be sent.
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
    raise errors.Unavailable("claim could not be acquired")


async def _read_with_retry(
    kv: external.KeyValue, key: str
) -> external.Entry | None:
    """Reads a claim, and once more if the first call fails."""
    try:
        return await kv.get(key)
    except errors.Unavailable:
        return await kv.get(key)


async def save(
    kv: external.KeyValue, held: HeldClaim, updated_claim: Claim, ttl_ms: int
) -> bool:
    """Saves the outcome of a claimed request; returns False on failure.

    If it is not saved, repeated requests get the error `outcome_unknown` and
    are not sent.
    """
    data = updated_claim.model_dump_json().encode()
    for _ in range(SAVE_TRIES):
        try:
            await kv.put(held.key, data, held.version, ttl_ms)
            return True
        except errors.Conflict:
            # Only the owner writes to an acquired claim, so an earlier write
            # of this loop took effect although its response was lost.
            return True
        except errors.Unavailable:
            await asyncio.sleep(SAVE_RETRY_S)
    return False


def mark_done(
    held: HeldClaim, status: int, content_type: str, body: bytes
) -> Claim:
    """Returns the claim in state DONE with the response."""
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
    """Returns the claim in state NOT_RUN, which others may acquire again."""
    return held.claim.model_copy(update={"state": State.NOT_RUN})


async def release_unconfirmed(
    kv: external.KeyValue, key: str, new_claim: Claim, ttl_ms: int, tries: int
) -> None:
    """Releases a claim whose write was not confirmed.

    The request was not sent, but the write may have taken effect. Without the
    release a repeated request would get the error `outcome_unknown`.

    Args:
      kv: The key-value service.
      key: Key of the claim.
      new_claim: The claim as it was written.
      ttl_ms: How long the released claim is stored.
      tries: Reads before giving up, one every SAVE_RETRY_S.
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
