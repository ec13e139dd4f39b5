"""Checks of callers' requests before anything is routed."""

from __future__ import annotations

import asyncio
import dataclasses
import re
import uuid

from aiohttp import web

from agatedock import errors
from agatedock import fleet
from agatedock import settings

ACCOUNT_HEADER = "X-Client-Account"
REQUEST_HEADER = "X-Request-Id"
CHAT_HEADER = "X-Chat-Id"
WORK_HEADER = "X-Work"
KEY_HEADER = "Idempotency-Key"

_ID = re.compile(r"[\w.:-]{1,64}")


@dataclasses.dataclass(frozen=True)
class Caller:
    """Who asks and how the request is known.

    Attributes:
      request_id: Id given by the caller or made here.
      work: Kind of work, which decides the rank; may be empty.
      chat_id: Id of the chat; may be empty.
      idempotency_key: Key of a request to run at most once; may be empty.
    """

    account: str
    request_id: str
    work: str
    chat_id: str
    idempotency_key: str


def identify(request: web.Request, document: fleet.Document) -> Caller:
    """Reads the caller's headers.

    Raises:
      errors.Refusal: A header is malformed or the account unknown.
    """
    account = _read(request, ACCOUNT_HEADER)
    if not account:
        raise errors.Refusal(
            errors.Code.BAD_REQUEST, f"header {ACCOUNT_HEADER} is missing"
        )
    if document.accounts and account not in document.accounts:
        raise errors.Refusal(
            errors.Code.UNKNOWN_ACCOUNT, f"no client account {account!r}"
        )
    work = _read(request, WORK_HEADER)
    if work and work not in document.works:
        raise errors.Refusal(
            errors.Code.BAD_REQUEST, f"no kind of work {work!r}"
        )
    return Caller(
        account=account,
        request_id=_read(request, REQUEST_HEADER) or uuid.uuid4().hex,
        work=work,
        chat_id=_read(request, CHAT_HEADER),
        idempotency_key=_read(request, KEY_HEADER),
    )


def _read(request: web.Request, header: str) -> str:
    values = request.headers.getall(header, [])
    if len(values) > 1:
        raise errors.Refusal(
            errors.Code.BAD_REQUEST, f"header {header} stands twice"
        )
    if values and not _ID.fullmatch(values[0]):
        raise errors.Refusal(
            errors.Code.BAD_REQUEST,
            f"header {header}: 1 to 64 letters, digits and _.:- expected",
        )
    return values[0] if values else ""


async def read_body(request: web.Request, limits: settings.Limits) -> bytes:
    """Reads the whole body within the limits.

    Raises:
      errors.Refusal: The body is too large, too slow or cut short.
    """
    if (request.content_length or 0) > limits.body_max_bytes:
        raise _refuse_large(limits)
    try:
        async with asyncio.timeout(limits.body_timeout_ms / 1000):
            return await _read_chunks(request, limits)
    except TimeoutError:
        raise errors.Refusal(
            errors.Code.READ_TIMEOUT,
            f"body not complete within {limits.body_timeout_ms} ms",
        ) from None
    except (ConnectionError, web.RequestPayloadError) as error:
        raise errors.Refusal(
            errors.Code.BAD_REQUEST, f"body cut short: {error}"
        ) from None


async def _read_chunks(request: web.Request, limits: settings.Limits) -> bytes:
    parts = []
    size = 0
    while chunk := await request.content.readany():
        size += len(chunk)
        if size > limits.body_max_bytes:
            raise _refuse_large(limits)
        parts.append(chunk)
    return b"".join(parts)


def _refuse_large(limits: settings.Limits) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.TOO_LARGE,
        f"body larger than {limits.body_max_bytes} bytes",
    )
