"""Parses and validates client requests before they are routed."""

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

_ID_PATTERN = re.compile(r"[\w.:-]{1,64}")
_NOT_FORWARDED_HEADERS = frozenset(
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
    """Account and request metadata from the headers of a request.

    Attributes:
      account: Name of the client account.
      request_id: Id that the client sent, otherwise a new one.
      work: Kind of work, which decides the rank (priority class, 0 is the
        highest); empty if not given.
      chat_id: Id of the chat; empty if not given.
      idempotency_key: Key of a request that must run at most once; empty if
        not given.
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
    """Body of a chat completion request; unknown fields are forwarded."""

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
    """Returns the validated headers of a client request.

    Args:
      raw: The request.
      configuration: The applied configuration; None if there is none yet, then
        account and kind of work are not checked.

    Raises:
      request_errors.RequestError: A header is missing or malformed, or the
        account or the kind of work is unknown.
    """
    account = _read_header(raw, ACCOUNT_HEADER)
    if not account:
        raise _make_bad_request_error(f"header {ACCOUNT_HEADER} is missing")
    work = _read_header(raw, WORK_HEADER)
    if configuration is not None:
        if configuration.find_account(account) is None:
            raise request_errors.RequestError(
                request_errors.ErrorCode.UNKNOWN_ACCOUNT,
                f"no account {account!r}",
            )
        if work and work not in configuration.document.works:
            raise _make_bad_request_error(f"no kind of work {work!r}")
    return ClientHeaders(
        account=account,
        request_id=_read_header(raw, REQUEST_ID_HEADER) or uuid.uuid4().hex,
        work=work,
        chat_id=_read_header(raw, CHAT_ID_HEADER),
        idempotency_key=_read_header(raw, IDEMPOTENCY_KEY_HEADER),
    )


def _read_header(raw: web.BaseRequest, header: str) -> str:
    values = raw.headers.getall(header, [])
    if len(values) > 1:
        raise _make_bad_request_error(f"header {header} stands twice")
    if values and not _ID_PATTERN.fullmatch(values[0]):
        raise _make_bad_request_error(
            f"header {header}: 1 to 64 letters, digits and _.:- expected"
        )
    return values[0] if values else ""


def _make_bad_request_error(details: str) -> request_errors.RequestError:
    return request_errors.RequestError(
        request_errors.ErrorCode.BAD_REQUEST, details
    )


def parse_chat_request(data: bytes) -> ChatRequest:
    """Returns the validated chat request from a JSON body.

    Raises:
      request_errors.RequestError: The body is invalid; the error lists every
        finding.
    """
    try:
        return ChatRequest.model_validate_json(data)
    except pydantic.ValidationError as error:
        findings = "; ".join(
            f"{'.'.join(str(p) for p in e['loc']) or 'body'}: {e['msg']}"
            for e in error.errors()
        )
        raise _make_bad_request_error(findings) from None


def estimate_prompt_tokens(chat_request: ChatRequest) -> int:
    """Returns the estimated prompt length in tokens, from its characters."""
    chars = sum(len(message.content) for message in chat_request.messages)
    return chars // CHARS_PER_TOKEN


def make_affinity_key(
    client_headers: ClientHeaders, chat_request: ChatRequest
) -> str:
    """Returns a key that is the same for all turns of a chat.

    Without a chat id the first messages identify the chat, since every later
    turn repeats them.
    """
    chat_identity = client_headers.chat_id
    if not chat_identity:
        opening_messages = [
            m.content
            for m in chat_request.messages[:2]
            if m.role != "assistant"
        ]
        chat_identity = "\0".join(opening_messages)
    return (
        f"{client_headers.account}/"
        f"{xxhash.xxh3_64_hexdigest(chat_identity.encode())}"
    )


def make_chat_request(
    client_headers: ClientHeaders,
    chat_request: ChatRequest,
    configuration: native_configuration.NativeConfiguration,
    now: float,
) -> requests.Request:
    """Returns the router's request for a chat request.

    Args:
      client_headers: The validated headers.
      chat_request: The validated body.
      configuration: The applied configuration.
      now: Time of arrival in seconds on the steady clock.

    Raises:
      request_errors.RequestError: The model is unknown, or prompt and response
        together exceed `work_max_tokens`.
    """
    if configuration.document.find_model(chat_request.model) is None:
        raise request_errors.RequestError(
            request_errors.ErrorCode.UNKNOWN_MODEL,
            f"no model {chat_request.model!r}",
        )
    prompt_tokens = estimate_prompt_tokens(chat_request)
    total_tokens_max = configuration.resolver.get(
        "work_max_tokens",
        account=client_headers.account,
        model=chat_request.model,
    )
    if prompt_tokens + chat_request.max_tokens > total_tokens_max:
        raise request_errors.RequestError(
            request_errors.ErrorCode.TOO_LARGE,
            f"prompt of about {prompt_tokens} and answer of "
            f"{chat_request.max_tokens} tokens; "
            f"together at most {total_tokens_max}",
        )
    return requests.Request(
        request_id=client_headers.request_id,
        method="POST",
        host="",
        target="/v1/chat/completions",
        headers=(("Content-Type", "application/json"),),
        account_key=client_headers.account,
        client_timeout_s=None,
        prompt=(
            requests.PromptPart(
                make_affinity_key(client_headers, chat_request), prompt_tokens
            ),
        ),
        last_event_id=None,
        arrived_at=now,
        service=chat_request.model,
        work=client_headers.work,
    )


def encode_engine_body(chat_request: ChatRequest) -> bytes:
    """Returns the JSON body for the engine, without `stream`.

    Engines always stream; `chat_downstreams` buffers if the client did not ask
    for a stream.
    """
    return json.dumps(chat_request.model_dump(exclude={"stream"})).encode()


def make_service_request(
    client_headers: ClientHeaders,
    raw: web.BaseRequest,
    service: str,
    target: str,
    now: float,
) -> requests.Request:
    """Returns the router's request to a plain service.

    Args:
      client_headers: The checked headers of the request.
      raw: The request as the HTTP server parsed it.
      service: Name of the service.
      target: Path and query at the service.
      now: Time of arrival in seconds on the steady clock.
    """
    return requests.Request(
        request_id=client_headers.request_id,
        method=raw.method,
        host="",
        target=target,
        headers=tuple(
            (name, value)
            for name, value in raw.headers.items()
            if name.lower() not in _NOT_FORWARDED_HEADERS
        ),
        account_key=client_headers.account,
        client_timeout_s=None,
        prompt=(),
        last_event_id=None,
        arrived_at=now,
        service=service,
        work=client_headers.work,
    )
