"""Non-idempotent requests: sent once; with a key, answered to each repeat."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from returns import result

from agatedock import clock
from agatedock import errors
from agatedock import external
from agatedock import logs
from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.native import claims
from agatedock.native import client_requests
from agatedock.native import native_dialect
from agatedock.serving import access_log
from agatedock.serving import dialect
from agatedock.serving import downstream
from agatedock.serving import reporter
from agatedock.serving import request_errors
from agatedock.serving import request_handler

REPLAY_HEADER = "X-Idempotent-Replay"
# Tries to free a claim whose answer was lost, over about half a minute.
RELEASE_TRIES = 150
CLAIM_RETRY_S = 2.0

_MS_PER_S = 1000
_log = logging.getLogger(__name__)

SendRequest = Callable[
    [requests.Request, downstream.Downstream],
    Awaitable[request_handler.RequestHandler],
]


class _Recorder(downstream.Downstream):
    """Keeps the answer so that it can be stored before it is sent."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.response: dialect.Response | None = None

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Returns the body, which is already there."""
        del limit_bytes, timeout_s
        return self._body

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Keeps the answer."""
        self.response = dialect.Response(status, headers, body)

    async def start_stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Plain services do not stream."""
        raise AssertionError("stream of a plain service")

    async def write(self, data: bytes) -> None:
        """Plain services do not stream."""
        raise AssertionError("stream of a plain service")

    async def end_stream(self) -> None:
        """Plain services do not stream."""
        raise AssertionError("stream of a plain service")

    async def abort_stream(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Plain services do not stream."""
        raise AssertionError("stream of a plain service") from request_error


class IdempotencyHandler:
    """Keyed requests of this router."""

    def __init__(
        self, kv: external.KeyValue, run: SendRequest, lines: reporter.Reporter
    ) -> None:
        """Builds the part.

        Args:
          kv: Where claims are kept.
          run: Serves one request.
          lines: Logs answers from claims.
        """
        self._kv = kv
        self._run = run
        self._reporter = lines
        self._releases: set[asyncio.Task[None]] = set()

    async def send_with_key(
        self,
        request: requests.Request,
        key: str,
        route: configuration.Route,
        ttl_ms: int,
        body: bytes,
    ) -> dialect.Response:
        """Sends a request under a claim, or answers from the claim.

        Args:
          request: The request.
          key: Its idempotency key.
          route: Its route, whose timeout says when its outcome is settled.
          ttl_ms: How long its answer is kept.
          body: Its whole body.

        Raises:
          declines.Declined: It was not sent because of its claim.
        """
        name = claims.make_key(request.service, request.account_key, key)
        wanted = claims.digest_request(request.method, request.target, body)
        settled_by_ms = clock.read_wall_ms() + int(route.timeout_s * _MS_PER_S)
        fresh = claims.make_claim(wanted, settled_by_ms)
        try:
            taken = await claims.acquire(self._kv, name, fresh, ttl_ms)
        except errors.Unavailable:
            self._release_later(name, fresh, ttl_ms)
            raise request_errors.RequestError(
                request_errors.ErrorCode.CLAIMS_UNAVAILABLE,
                "the key cannot be claimed now; nothing was sent",
                retry_after_s=CLAIM_RETRY_S,
            ) from None
        match taken:
            case result.Success(held):
                return await self._send(request, held, ttl_ms, body)
            case result.Failure(first):
                reply = _answer_from(request, first, wanted)
                self._report_replay(request, reply)
                return reply
        raise AssertionError(taken)

    async def send_without_key(
        self, request: requests.Request, body: bytes
    ) -> dialect.Response:
        """Sends a request without a key, at most once."""
        recorder = _Recorder(body)
        await self._run(request, recorder)
        assert recorder.response is not None
        return recorder.response

    def _report_replay(
        self, request: requests.Request, reply: dialect.Response
    ) -> None:
        entry = access_log.AccessLogEntry(request.request_id)
        entry.account = request.account_key
        entry.service = request.service
        entry.outcome = "replayed"
        entry.status = reply.status
        self._reporter.report(entry, request.arrived_at, clock.read_steady_s())

    def _release_later(
        self, name: str, fresh: claims.Claim, ttl_ms: int
    ) -> None:
        task = asyncio.create_task(
            claims.release_unconfirmed(
                self._kv, name, fresh, ttl_ms, RELEASE_TRIES
            )
        )
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _send(
        self,
        request: requests.Request,
        held: claims.HeldClaim,
        ttl_ms: int,
        body: bytes,
    ) -> dialect.Response:
        recorder = _Recorder(body)
        served = await self._run(request, recorder)
        reply = recorder.response
        assert reply is not None
        if served.request_error is None:
            done = claims.mark_done(
                held, reply.status, _find_content_type(reply), reply.body
            )
            if not await claims.save(self._kv, held, done, ttl_ms):
                logs.event(
                    _log,
                    "claim_not_recorded",
                    logging.ERROR,
                    id=request.request_id,
                    account=request.account_key,
                )
        elif served.request_error.not_run:
            released = claims.mark_not_run(held)
            await claims.save(self._kv, held, released, ttl_ms)
        return reply


def _find_content_type(reply: dialect.Response) -> str:
    for name, value in reply.headers:
        if name.lower() == "content-type":
            return value
    return "application/octet-stream"


def _answer_from(
    request: requests.Request, first: claims.Claim, wanted: str
) -> dialect.Response:
    """Answers a repeat from the claim of the first request."""
    if first.request_digest != wanted:
        raise request_errors.RequestError(
            request_errors.ErrorCode.KEY_REUSED,
            "the idempotency key belongs to another request",
        )
    if first.state == claims.State.SENDING:
        raise _refuse_unsettled(first)
    body = first.decode_body()
    if body is None:
        raise request_errors.RequestError(
            request_errors.ErrorCode.OUTCOME_UNKNOWN,
            f"ran with status {first.status}; its answer was too large to keep",
            not_run=False,
        )
    headers = [
        ("Content-Type", first.content_type),
        (client_requests.REQUEST_ID_HEADER, request.request_id),
        (REPLAY_HEADER, "true"),
        (native_dialect.SERVED_BY_HEADER, "claim"),
    ]
    return dialect.Response(first.status, headers, body)


def _refuse_unsettled(first: claims.Claim) -> request_errors.RequestError:
    left_s = (first.settled_by_ms - clock.read_wall_ms()) / _MS_PER_S
    if left_s > 0:
        return request_errors.RequestError(
            request_errors.ErrorCode.IN_PROGRESS,
            "the first request with this key is still running",
            not_run=False,
            retry_after_s=min(left_s, CLAIM_RETRY_S),
        )
    return request_errors.RequestError(
        request_errors.ErrorCode.OUTCOME_UNKNOWN,
        "the first request with this key was sent; what became of it is "
        "unknown and it is not sent again",
        not_run=False,
    )
