"""Non-idempotent requests: sent once; responses replayed by idempotency key.

A request without a key is sent at most once. A request with a key is sent
under a claim (see `claims`); a repeated request with the same key gets the
stored response instead of being sent again.
"""

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
# Attempts to release a claim whose write was not confirmed; at one attempt per
# claims.SAVE_RETRY_S they cover about half a minute.
RELEASE_TRIES = 150
CLAIM_RETRY_S = 2.0

_MS_PER_S = 1000
_log = logging.getLogger(__name__)

SendRequest = Callable[
    [requests.Request, downstream.Downstream],
    Awaitable[request_handler.RequestHandler],
]


class _ResponseRecorder(downstream.Downstream):
    """Holds the response so that it can be saved before the client gets it."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.response: dialect.Response | None = None

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Returns the body, which was read before the request was claimed."""
        del limit_bytes, timeout_s
        return self._body

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Stores the response in `response`."""
        self.response = dialect.Response(status, headers, body)

    async def start_stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Fails: responses of plain services are not streamed."""
        raise AssertionError("plain services do not stream responses")

    async def write(self, data: bytes) -> None:
        """Fails: responses of plain services are not streamed."""
        raise AssertionError("plain services do not stream responses")

    async def end_stream(self) -> None:
        """Fails: responses of plain services are not streamed."""
        raise AssertionError("plain services do not stream responses")

    async def abort_stream(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Fails: responses of plain services are not streamed."""
        raise AssertionError(
            "plain services do not stream responses"
        ) from request_error


class IdempotencyHandler:
    """Sends non-idempotent requests, under a claim if they have a key."""

    def __init__(
        self,
        kv: external.KeyValue,
        send_request: SendRequest,
        request_reporter: reporter.Reporter,
    ) -> None:
        """Creates the handler.

        Args:
          kv: The key-value service that stores claims.
          send_request: Sends one request to a replica.
          request_reporter: Logs responses that are replayed from claims.
        """
        self._kv = kv
        self._send_request = send_request
        self._reporter = request_reporter
        self._release_tasks: set[asyncio.Task[None]] = set()

    async def send_with_key(
        self,
        request: requests.Request,
        key: str,
        route: configuration.Route,
        ttl_ms: int,
        body: bytes,
    ) -> dialect.Response:
        """Sends a request under a claim, or replays the stored response.

        Args:
          request: The request.
          key: Its idempotency key.
          route: Its route. After the route's timeout a claim that is still in
            state SENDING counts as having an unknown outcome.
          ttl_ms: How long the claim and its response are stored.
          body: The full request body.

        Returns:
          The replica's response, a replayed response, or the router's own
          error response if no replica served the request.

        Raises:
          request_errors.RequestError: The request was not sent: the claim
            could not be acquired, the key belongs to another request, or the
            first request with this key is still running or has an unknown
            outcome.
        """
        claim_key = claims.make_key(request.service, request.account_key, key)
        request_digest = claims.digest_request(
            request.method, request.target, body
        )
        settled_by_ms = clock.read_wall_ms() + int(route.timeout_s * _MS_PER_S)
        new_claim = claims.make_claim(request_digest, settled_by_ms)
        try:
            acquired = await claims.acquire(
                self._kv, claim_key, new_claim, ttl_ms
            )
        except errors.Unavailable:
            self._schedule_release(claim_key, new_claim, ttl_ms)
            raise request_errors.RequestError(
                request_errors.ErrorCode.CLAIMS_UNAVAILABLE,
                "the key cannot be claimed now; nothing was sent",
                retry_after_s=CLAIM_RETRY_S,
            ) from None
        match acquired:
            case result.Success(held):
                return await self._send_claimed(request, held, ttl_ms, body)
            case result.Failure(stored_claim):
                response = _make_replayed_response(
                    request, stored_claim, request_digest
                )
                self._report_replay(request, response)
                return response
        raise AssertionError(acquired)

    async def send_without_key(
        self, request: requests.Request, body: bytes
    ) -> dialect.Response:
        """Sends a request without a key, at most once."""
        recorder = _ResponseRecorder(body)
        await self._send_request(request, recorder)
        assert recorder.response is not None
        return recorder.response

    def _report_replay(
        self, request: requests.Request, response: dialect.Response
    ) -> None:
        entry = access_log.AccessLogEntry(request.request_id)
        entry.account = request.account_key
        entry.service = request.service
        entry.outcome = "replayed"
        entry.status = response.status
        self._reporter.report(entry, request.arrived_at, clock.read_steady_s())

    def _schedule_release(
        self, claim_key: str, new_claim: claims.Claim, ttl_ms: int
    ) -> None:
        task = asyncio.create_task(
            claims.release_unconfirmed(
                self._kv, claim_key, new_claim, ttl_ms, RELEASE_TRIES
            )
        )
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    async def _send_claimed(
        self,
        request: requests.Request,
        held: claims.HeldClaim,
        ttl_ms: int,
        body: bytes,
    ) -> dialect.Response:
        recorder = _ResponseRecorder(body)
        handler = await self._send_request(request, recorder)
        response = recorder.response
        assert response is not None
        if handler.request_error is None:
            done_claim = claims.mark_done(
                held,
                response.status,
                _find_content_type(response),
                response.body,
            )
            if not await claims.save(self._kv, held, done_claim, ttl_ms):
                logs.event(
                    _log,
                    "claim_not_recorded",
                    logging.ERROR,
                    id=request.request_id,
                    account=request.account_key,
                )
        elif handler.request_error.not_run:
            released_claim = claims.mark_not_run(held)
            await claims.save(self._kv, held, released_claim, ttl_ms)
        return response


def _find_content_type(response: dialect.Response) -> str:
    for name, value in response.headers:
        if name.lower() == "content-type":
            return value
    return "application/octet-stream"


def _make_replayed_response(
    request: requests.Request, stored_claim: claims.Claim, request_digest: str
) -> dialect.Response:
    """Returns the response to a repeated request, from the stored claim.

    Raises:
      request_errors.RequestError: The claim belongs to another request or
        holds no response.
    """
    if stored_claim.request_digest != request_digest:
        raise request_errors.RequestError(
            request_errors.ErrorCode.KEY_REUSED,
            "the idempotency key belongs to another request",
        )
    if stored_claim.state == claims.State.SENDING:
        raise _make_unsettled_error(stored_claim)
    body = stored_claim.decode_body()
    if body is None:
        raise request_errors.RequestError(
            request_errors.ErrorCode.OUTCOME_UNKNOWN,
            f"ran with status {stored_claim.status}; "
            "its answer was too large to keep",
            not_run=False,
        )
    headers = [
        ("Content-Type", stored_claim.content_type),
        (client_requests.REQUEST_ID_HEADER, request.request_id),
        (REPLAY_HEADER, "true"),
        (native_dialect.SERVED_BY_HEADER, "claim"),
    ]
    return dialect.Response(stored_claim.status, headers, body)


def _make_unsettled_error(
    stored_claim: claims.Claim,
) -> request_errors.RequestError:
    remaining_s = (
        stored_claim.settled_by_ms - clock.read_wall_ms()
    ) / _MS_PER_S
    if remaining_s > 0:
        return request_errors.RequestError(
            request_errors.ErrorCode.IN_PROGRESS,
            "the first request with this key is still running",
            not_run=False,
            retry_after_s=min(remaining_s, CLAIM_RETRY_S),
        )
    return request_errors.RequestError(
        request_errors.ErrorCode.OUTCOME_UNKNOWN,
        "the first request with this key was sent; what became of it is "
        "unknown and it is not sent again",
        not_run=False,
    )
