"""The native API's HTTP dialect: headers, bodies and response classification.

Engines stream chat completions as server-sent events; plain services are any
HTTP services behind the router.
"""

from __future__ import annotations

from collections.abc import Mapping
import json

import multidict
import xxhash

from agatedock.domain import requests
from agatedock.native import client_requests
from agatedock.serving import dialect
from agatedock.serving import request_errors

SERVED_BY_HEADER = "X-Served-By"
STREAM_ID_HEADER = "X-Stream-Id"
RESUME_OFFSET_HEADER = "X-Resume-Offset"
DRAINING_HEADER = "X-Draining"
RATE_LIMIT_HEADER = "X-Rate-Limit"
DONE_EVENT = b"data: [DONE]\n\n"

_MS_PER_S = 1000
_OK = 200
_SERVICE_UNAVAILABLE = 503
_TOO_MANY_REQUESTS = 429
_NOT_RETURNED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        RATE_LIMIT_HEADER.lower(),
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        client_requests.REQUEST_ID_HEADER.lower(),
    }
)


def make_engine_request_id(request: requests.Request) -> str:
    """Returns the id that engines use for a chat request.

    It adds a hash of account and time of arrival, because a client's request
    id is unique only within its account and may be reused later.
    """
    text = f"{request.account_key}\0{request.arrived_at!r}"
    return f"{request.request_id}.{xxhash.xxh32_hexdigest(text.encode())}"


def parse_events(data: bytes) -> list[dict]:
    """Returns the decoded JSON of complete events, without DONE_EVENT."""
    return [
        json.loads(event.partition(b"data: ")[2])
        for event in data.split(b"\n\n")
        if event and event + b"\n\n" != DONE_EVENT
    ]


def extract_text(data: bytes) -> str:
    """Returns the concatenated text of complete events."""
    return "".join(
        event["choices"][0]["delta"].get("content", "")
        for event in parse_events(data)
    )


class NativeDialect(dialect.Dialect):
    """Dialect of the native API; a request with a prompt is a chat."""

    needs_delivered_events = True
    has_sequential_event_ids = True
    has_increasing_event_ids = True
    end_marker = DONE_EVENT

    def build_request_headers(
        self, attempt: dialect.Attempt
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of a request to an engine or plain service."""
        request = attempt.request
        headers = multidict.CIMultiDict(request.headers)
        if not request.prompt:
            headers[client_requests.REQUEST_ID_HEADER] = request.request_id
            return headers
        headers[client_requests.REQUEST_ID_HEADER] = make_engine_request_id(
            request
        )
        headers["X-Priority"] = str(attempt.rank)
        headers["X-Prefix-Key"] = request.affinity_key
        headers[RESUME_OFFSET_HEADER] = str(_count_delivered_events(attempt))
        headers[STREAM_ID_HEADER] = str(attempt.number)
        return headers

    def build_request_body(self, attempt: dialect.Attempt) -> bytes:
        """Returns the body; a resumed chat includes the delivered text."""
        if not attempt.delivered_events:
            return attempt.body
        body = json.loads(attempt.body)
        body["continue"] = {
            "text": extract_text(attempt.delivered_events),
            "events": _count_delivered_events(attempt),
        }
        return json.dumps(body).encode()

    def classify_response(
        self,
        request: requests.Request,
        status: int,
        headers: Mapping[str, str],
    ) -> dialect.ResponseKind:
        """Returns how status and headers of a response are to be treated."""
        own_id = request.request_id
        if request.prompt:
            own_id = make_engine_request_id(request)
        # Rejections and some services do not echo the id.
        if headers.get(client_requests.REQUEST_ID_HEADER, own_id) != own_id:
            return dialect.ResponseKind.INVALID
        if status == _SERVICE_UNAVAILABLE and DRAINING_HEADER in headers:
            return dialect.ResponseKind.NOT_RUN
        if request.prompt:
            return _classify_chat(own_id, status, headers)
        # A status below 500 is a valid response of the service, for the client.
        if status < 500:
            return dialect.ResponseKind.SUCCESS
        return dialect.ResponseKind.FAILED

    def parse_notice(
        self,
        request: requests.Request,
        status: int,
        headers: Mapping[str, str],
    ) -> dialect.Notice:
        """Returns what the upstream says of itself in a response head."""
        del request
        return dialect.Notice(
            draining=DRAINING_HEADER in headers,
            retry_after=headers.get("Retry-After")
            if status == _SERVICE_UNAVAILABLE
            else None,
            rate_limit=dialect.list_values(headers, RATE_LIMIT_HEADER),
        )

    def matches_request(self, request: requests.Request, data: bytes) -> bool:
        """Returns whether all events carry the id of the request."""
        expected_id = make_engine_request_id(request)
        try:
            return all(
                event.get("id") == expected_id for event in parse_events(data)
            )
        except (ValueError, AttributeError, RecursionError):
            return False

    def build_cancel_request(
        self, attempt: dialect.Attempt
    ) -> dialect.CancelRequest | None:
        """Returns the request that cancels a chat at its engine.

        Without it the engine would keep the generation for a resumed stream.
        None for plain services, which have no cancellation.
        """
        if not attempt.request.prompt:
            return None
        return dialect.CancelRequest(
            method="DELETE",
            target=f"/v1/requests/{make_engine_request_id(attempt.request)}",
            # The stream id limits the cancellation to this attempt: if it
            # arrives late, it must not stop a later stream of this request.
            headers=multidict.CIMultiDict(
                {STREAM_ID_HEADER: str(attempt.number)}
            ),
        )

    def build_response_headers(
        self,
        request: requests.Request,
        replica_id: str,
        headers: multidict.CIMultiDictProxy[str],
    ) -> list[tuple[str, str]]:
        """Returns the headers of a response that go to the client."""
        forwarded = [
            (name, value)
            for name, value in headers.items()
            if name.lower() not in _NOT_RETURNED_HEADERS
        ]
        forwarded.append(
            (client_requests.REQUEST_ID_HEADER, request.request_id)
        )
        forwarded.append((SERVED_BY_HEADER, replica_id))
        return forwarded

    def build_error_response(
        self,
        request: requests.Request,
        request_error: request_errors.RequestError,
    ) -> dialect.Response:
        """Returns the error response to a request that was not served."""
        return make_error_response(request.request_id, request_error)


def make_error_response(
    request_id: str, request_error: request_errors.RequestError
) -> dialect.Response:
    """Returns the JSON error response to a request that was not served.

    Args:
      request_id: Id of the request; empty if unknown.
      request_error: The reason.
    """
    headers = [("Content-Type", "application/json")]
    if request_id:
        headers.append((client_requests.REQUEST_ID_HEADER, request_id))
    retry_ms = None
    if request_error.retry_after_s is not None:
        retry_ms = round(request_error.retry_after_s * _MS_PER_S)
        # Retry-After has whole seconds, rounded up; the body has milliseconds.
        headers.append(("Retry-After", str(-(-retry_ms // _MS_PER_S))))
    error = {
        "code": str(request_error.code),
        "message": request_error.details or str(request_error.code),
        "request_id": request_id,
        "not_run": request_error.not_run,
        "retry_after_ms": retry_ms,
    }
    status = request_error.status
    if request_error.not_run and request_error.code in _OVERLOAD_CODES:
        status = _TOO_MANY_REQUESTS
    return dialect.Response(
        status, headers, json.dumps({"error": error}).encode()
    )


_OVERLOAD_CODES = frozenset(
    {
        request_errors.ErrorCode.OVERLOADED,
        request_errors.ErrorCode.OVER_SHARE,
        request_errors.ErrorCode.REPLICAS_FULL,
        request_errors.ErrorCode.REPLICAS_PAUSED,
    }
)


def _count_delivered_events(attempt: dialect.Attempt) -> int:
    """Returns the number of events that were delivered to the client."""
    last = attempt.last_event_id
    return int(last) + 1 if last is not None else 0


def _classify_chat(
    engine_request_id: str, status: int, headers: Mapping[str, str]
) -> dialect.ResponseKind:
    if status != _OK:
        # Engines reject a request only before they run it.
        return dialect.ResponseKind.NOT_RUN
    if headers.get(client_requests.REQUEST_ID_HEADER) != engine_request_id:
        return dialect.ResponseKind.INVALID
    return dialect.ResponseKind.SUCCESS
