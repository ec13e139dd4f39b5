"""Reads callers' requests and checks them before anything is routed."""

from __future__ import annotations

import dataclasses
import json
import re
import uuid

from aiohttp import web
import pydantic
import xxhash

from agatedock.domain import requests
from agatedock.native import native_configuration
from agatedock.serving import request_errors

ACCOUNT_HEADER = "X-Client-Account"
REQUEST_ID_HEADER = "X-Request-Id"
CHAT_ID_HEADER = "X-Chat-Id"
WORK_HEADER = "X-Work"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

CHARS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768

_ID = re.compile(r"[\w.:-]{1,64}")
_PRIVATE_HEADERS = frozenset(
    {
        "accept-encoding",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        REQUEST_ID_HEADER.lower(),
    }
)


@dataclasses.dataclass(frozen=True)
class ClientHeaders:
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


class Message(pydantic.BaseModel):
    """One message of a chat."""

    role: str
    content: str


class ChatRequest(pydantic.BaseModel):
    """Body of a chat request, in the form usual for model engines."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str
    messages: list[Message] = pydantic.Field(min_length=1)
    max_tokens: int = pydantic.Field(
        DEFAULT_MAX_TOKENS, ge=1, le=MAX_TOKENS_LIMIT
    )
    stream: bool = False


def read_client_headers(
    raw: web.BaseRequest,
    configuration: native_configuration.NativeConfiguration | None,
) -> ClientHeaders:
    """Reads the caller's headers.

    Args:
      raw: The request.
      configuration: The one in force; None before the first.

    Raises:
      declines.Declined: A header is malformed, the account or the kind of
        work unknown.
    """
    account = _read(raw, ACCOUNT_HEADER)
    if not account:
        raise _refuse(f"header {ACCOUNT_HEADER} is missing")
    work = _read(raw, WORK_HEADER)
    if configuration is not None:
        if configuration.find_account(account) is None:
            raise request_errors.RequestError(
                request_errors.ErrorCode.UNKNOWN_ACCOUNT,
                f"no account {account!r}",
            )
        if work and work not in configuration.document.works:
            raise _refuse(f"no kind of work {work!r}")
    return ClientHeaders(
        account=account,
        request_id=_read(raw, REQUEST_ID_HEADER) or uuid.uuid4().hex,
        work=work,
        chat_id=_read(raw, CHAT_ID_HEADER),
        idempotency_key=_read(raw, IDEMPOTENCY_KEY_HEADER),
    )


def _read(raw: web.BaseRequest, header: str) -> str:
    values = raw.headers.getall(header, [])
    if len(values) > 1:
        raise _refuse(f"header {header} stands twice")
    if values and not _ID.fullmatch(values[0]):
        raise _refuse(
            f"header {header}: 1 to 64 letters, digits and _.:- expected"
        )
    return values[0] if values else ""


def _refuse(details: str) -> request_errors.RequestError:
    return request_errors.RequestError(
        request_errors.ErrorCode.BAD_REQUEST, details
    )


def parse_chat_request(data: bytes) -> ChatRequest:
    """Returns the chat request in a caller's body.

    Raises:
      declines.Declined: With everything that is wrong with it.
    """
    try:
        return ChatRequest.model_validate_json(data)
    except pydantic.ValidationError as error:
        findings = "; ".join(
            f"{'.'.join(str(p) for p in e['loc']) or 'body'}: {e['msg']}"
            for e in error.errors()
        )
        raise _refuse(findings) from None


def estimate_prompt_tokens(wanted: ChatRequest) -> int:
    """Estimates the length of a prompt in tokens."""
    chars = sum(len(message.content) for message in wanted.messages)
    return chars // CHARS_PER_TOKEN


def make_affinity_key(caller: ClientHeaders, wanted: ChatRequest) -> str:
    """Returns a key that all turns of a chat share.

    Without a chat id the opening of the chat stands for it, since every
    later turn repeats it.
    """
    opening = caller.chat_id
    if not opening:
        first = [
            m.content for m in wanted.messages[:2] if m.role != "assistant"
        ]
        opening = "\0".join(first)
    return f"{caller.account}/{xxhash.xxh3_64_hexdigest(opening.encode())}"


def make_chat_request(
    caller: ClientHeaders,
    wanted: ChatRequest,
    configuration: native_configuration.NativeConfiguration,
    now: float,
) -> requests.Request:
    """Returns a chat request as it is served.

    Raises:
      declines.Declined: The model is unknown, or the work too large.
    """
    if configuration.document.find_model(wanted.model) is None:
        raise request_errors.RequestError(
            request_errors.ErrorCode.UNKNOWN_MODEL, f"no model {wanted.model!r}"
        )
    prompt = estimate_prompt_tokens(wanted)
    most = configuration.resolver.get(
        "work_max_tokens", account=caller.account, model=wanted.model
    )
    if prompt + wanted.max_tokens > most:
        raise request_errors.RequestError(
            request_errors.ErrorCode.TOO_LARGE,
            f"prompt of about {prompt} and answer of {wanted.max_tokens} "
            f"tokens; together at most {most}",
        )
    return requests.Request(
        request_id=caller.request_id,
        method="POST",
        host="",
        target="/v1/chat/completions",
        headers=(("Content-Type", "application/json"),),
        account_key=caller.account,
        client_timeout_s=None,
        prompt=(
            requests.PromptPart(make_affinity_key(caller, wanted), prompt),
        ),
        last_event_id=None,
        arrived_at=now,
        service=wanted.model,
        work=caller.work,
    )


def encode_engine_body(wanted: ChatRequest) -> bytes:
    """Returns the body of a chat request as engines take it."""
    return json.dumps(wanted.model_dump(exclude={"stream"})).encode()


def make_service_request(
    caller: ClientHeaders,
    raw: web.BaseRequest,
    service: str,
    target: str,
    now: float,
) -> requests.Request:
    """Returns a request to a plain service as it is served.

    Args:
      caller: Who asks.
      raw: The request as it was read.
      service: The service that it names.
      target: Path and query at the service.
      now: Present time in seconds.
    """
    return requests.Request(
        request_id=caller.request_id,
        method=raw.method,
        host="",
        target=target,
        headers=tuple(
            (name, value)
            for name, value in raw.headers.items()
            if name.lower() not in _PRIVATE_HEADERS
        ),
        account_key=caller.account,
        client_timeout_s=None,
        prompt=(),
        last_event_id=None,
        arrived_at=now,
        service=service,
        work=caller.work,
    )
