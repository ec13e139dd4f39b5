"""Forwards replicas' responses to the client of one request."""

from __future__ import annotations

import asyncio
import dataclasses
import time

import aiohttp

from agatedock import body_buffers
from agatedock import response_syntax
from agatedock.decisions import retries
from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.serving import access_log
from agatedock.serving import crash_guard
from agatedock.serving import dialect
from agatedock.serving import downstream
from agatedock.serving import early_closes
from agatedock.serving import sse
from agatedock.serving import state

# Largest response of a route without streaming, which is buffered in full.
RESPONSE_MAX_BYTES = 8 * 1024 * 1024
# Largest stream; tens of thousands of tokens are some 8 MB of events.
STREAM_MAX_BYTES = 16 * 1024 * 1024

# Why a body that could not be read was not complete, if the router closed it.
_CLOSE_REASONS: dict[type[Exception], early_closes.Reason] = {
    body_buffers.BodyTooLargeError: early_closes.Reason.BODY_TOO_LARGE,
    body_buffers.BuffersFullError: early_closes.Reason.BUFFERS_FULL,
    response_syntax.InvalidResponseError: early_closes.Reason.INVALID_CHUNKS,
    sse.InvalidStreamError: early_closes.Reason.INVALID_STREAM,
}
# All errors of reading a body; TimeoutError is an OSError.
_READ_ERRORS: tuple[type[Exception], ...] = (
    *_CLOSE_REASONS,
    aiohttp.ClientError,
    OSError,
)

_OK = 200
_EVENT_STREAM = "text/event-stream"


@dataclasses.dataclass
class AttemptFailure:
    """An attempt without a usable response.

    Attributes:
      outcome: How the attempt failed.
      response: The replica's error response, which is forwarded if the request
        is not retried.
      connection_lost: Whether the connection ended before the response did.
    """

    outcome: retries.Outcome
    response: dialect.Response | None = None
    connection_lost: bool = False


class ResponseForwarder:
    """Forwards responses to one client and tracks what was delivered.

    Attributes:
      streaming: Whether the head of a stream has been sent.
      last_event_id: Id of the last delivered event, after which a broken
        stream is resumed.
      delivered_events: Events delivered so far; empty unless the dialect needs
        them.
    """

    def __init__(
        self,
        shared: state.SharedState,
        request: requests.Request,
        client: downstream.Downstream,
        log_entry: access_log.AccessLogEntry,
        guard: crash_guard.CrashGuard,
    ) -> None:
        self._guard = guard
        self._shared = shared
        self._request = request
        self._client = client
        self._log_entry = log_entry
        self.streaming = False
        self.last_event_id = request.last_event_id
        self._delivered_batches: list[bytes] = []
        # The latest events; a complete stream ends with the end marker.
        self._last_batch = b""
        self._delivered_bytes = 0
        self._buffer = shared.response_buffers.open()

    def close(self) -> None:
        """Releases what is held of responses."""
        self._buffer.close()

    @property
    def delivered_events(self) -> bytes:
        """Returns the events delivered to the client so far."""
        return b"".join(self._delivered_batches)

    async def forward_response(
        self,
        route: configuration.Route,
        replica_id: str,
        kind: dialect.ResponseKind,
        response: aiohttp.ClientResponse,
        body_timeout_s: float | None,
    ) -> AttemptFailure | None:
        """Forwards a response.

        Args:
          route: The route of the request.
          replica_id: The replica that responds.
          kind: How the response head was classified.
          response: The response, with its body not read yet.
          body_timeout_s: Timeout for the body of a response that is not
            streamed; None for no timeout.

        Returns:
          None once the client has the complete response, else the failure.
        """
        is_stream = route.kind is configuration.RouteKind.STREAM
        if (
            kind is dialect.ResponseKind.SUCCESS
            and is_stream
            and _is_event_stream(response)
        ):
            return await self._forward_stream(route, replica_id, response)
        return await self._forward_complete(
            replica_id, kind, response, body_timeout_s
        )

    async def _forward_complete(
        self,
        replica_id: str,
        kind: dialect.ResponseKind,
        response: aiohttp.ClientResponse,
        body_timeout_s: float | None,
    ) -> AttemptFailure | None:
        """Buffers a response and forwards it if it is a success."""
        shared = self._shared
        try:
            async with asyncio.timeout(body_timeout_s):
                body = await body_buffers.read_buffered(
                    lambda: self._shared.replica_client.read_next(response),
                    RESPONSE_MAX_BYTES,
                    self._buffer,
                )
        except _READ_ERRORS as error:
            return self._end_attempt(replica_id, response, error)
        is_success = kind is dialect.ResponseKind.SUCCESS
        if is_success:
            # An error is no answer: the replica may not have read the prompt.
            self._guard.record_whole(shared.now())
        shared.health.record_result(replica_id, is_success, shared.now())
        headers = shared.dialect.build_response_headers(
            self._request, replica_id, response.headers
        )
        if is_success and not self.streaming:
            self._log_entry.outcome = "answered"
            self._log_entry.status = response.status
            await self._client.send_response(response.status, headers, body)
            return None
        if kind is dialect.ResponseKind.AMBIGUOUS or self.streaming:
            return AttemptFailure(retries.Outcome.FAILED)
        return AttemptFailure(
            retries.Outcome.FAILED,
            dialect.Response(response.status, headers, body),
        )

    async def _forward_stream(
        self,
        route: configuration.Route,
        replica_id: str,
        response: aiohttp.ClientResponse,
    ) -> AttemptFailure | None:
        """Forwards events as they arrive; returns None at the stream's end."""
        await self._start_stream(replica_id, response)
        splitter = sse.SseSplitter(
            self.last_event_id,
            self._shared.dialect.has_sequential_event_ids,
            self._shared.dialect.has_increasing_event_ids,
        )
        has_events = False
        idle_timeout_s = (
            self._shared.timeouts.stream_idle_timeout_s
            if route.resumable
            else None
        )
        loop = asyncio.get_running_loop()
        last_event_at = loop.time()
        while True:
            # Only complete events reset the timeout, not partial ones.
            deadline_at = (
                None
                if idle_timeout_s is None
                else last_event_at + idle_timeout_s
            )
            try:
                batch = await self._read_batch(response, splitter, deadline_at)
            except _READ_ERRORS as error:
                return self._end_attempt(replica_id, response, error)
            if batch is None:
                break
            self._shared.health.record_activity(replica_id, self._shared.now())
            if batch.data:
                await self._write_batch(batch)
                has_events = True
                last_event_at = loop.time()
        if not self._is_complete(splitter, has_events, response):
            self._record_unreachable(replica_id)
            return AttemptFailure(retries.Outcome.BROKEN, connection_lost=True)
        empty_lines = splitter.take_empty_lines()
        if empty_lines:
            await self._client.write(empty_lines)
        now = self._shared.now()
        self._guard.record_whole(now)
        self._shared.health.record_result(replica_id, True, now)
        self._log_entry.outcome = "answered"
        await self._client.end_stream()
        return None

    async def _read_batch(
        self,
        response: aiohttp.ClientResponse,
        splitter: sse.SseSplitter,
        deadline_at: float | None,
    ) -> sse.Batch | None:
        """Returns the events that the next bytes complete; None at the end.

        Args:
          response: The response.
          splitter: Holds the event that is not complete yet.
          deadline_at: When the next bytes are due, in seconds of the event
            loop; None if there is no timeout.

        Raises:
          Exception: One of _READ_ERRORS.
        """
        try:
            async with asyncio.timeout_at(deadline_at) as timeout:
                self._buffer.begin(timeout)
                chunk = await self._shared.replica_client.read_next(response)
        except TimeoutError:
            if self._buffer.is_dropped:
                raise body_buffers.BuffersFullError from None
            raise
        finally:
            self._buffer.end()
        if not chunk:
            return None
        if response.content.total_bytes > STREAM_MAX_BYTES:
            raise body_buffers.BodyTooLargeError
        began_at = time.monotonic()
        batch = self._check_batch(splitter.feed(chunk))
        now = time.monotonic()
        self._shared.replica_client.record_work(response, now - began_at, now)
        self._buffer.resize(self._delivered_bytes + splitter.partial_bytes)
        return batch

    def _end_attempt(
        self,
        replica_id: str,
        response: aiohttp.ClientResponse,
        error: Exception,
    ) -> AttemptFailure:
        """Returns how an attempt failed whose body could not be read."""
        for error_type, reason in _CLOSE_REASONS.items():
            if isinstance(error, error_type):
                return self._cut(replica_id, response, reason)
        self._record_unreachable(replica_id)
        if isinstance(error, TimeoutError):
            return AttemptFailure(retries.Outcome.TIMED_OUT)
        return AttemptFailure(retries.Outcome.BROKEN, connection_lost=True)

    def _is_complete(
        self,
        splitter: sse.SseSplitter,
        has_events: bool,
        response: aiohttp.ClientResponse,
    ) -> bool:
        """Returns whether a stream that has ended is complete.

        Without a length, chunks and events, the end of the connection says
        nothing about the stream.
        """
        return (
            splitter.at_event_boundary
            and self._last_batch.endswith(self._shared.dialect.end_marker)
            and (has_events or _is_framed(response))
        )

    def _check_batch(self, batch: sse.Batch) -> sse.Batch:
        """Returns the batch if its events belong to the request.

        Raises:
          sse.InvalidStreamError: An event belongs to another request.
        """
        if batch.data and not self._shared.dialect.matches_request(
            self._request, batch.data
        ):
            raise sse.InvalidStreamError("event belongs to another request")
        return batch

    async def _start_stream(
        self, replica_id: str, response: aiohttp.ClientResponse
    ) -> None:
        """Sends the first replica's head; resumed streams send none."""
        if self.streaming:
            return
        self.streaming = True
        self._log_entry.status = response.status
        headers = self._shared.dialect.build_response_headers(
            self._request, replica_id, response.headers
        )
        await self._client.start_stream(response.status, headers)

    async def _write_batch(self, batch: sse.Batch) -> None:
        now = self._shared.now()
        self._log_entry.record_chunk(now)
        self._guard.record_data(now)
        self.last_event_id = batch.last_id or self.last_event_id
        self._last_batch = batch.data
        if self._shared.dialect.needs_delivered_events:
            self._delivered_batches.append(batch.data)
            self._delivered_bytes += len(batch.data)
        await self._client.write(batch.data)

    def _cut(
        self,
        replica_id: str,
        response: aiohttp.ClientResponse,
        reason: early_closes.Reason,
    ) -> AttemptFailure:
        """Closes the connection of a response that is not read to its end."""
        self._shared.early_closes.record(
            self._request.request_id,
            replica_id,
            response.content.total_bytes,
            reason,
        )
        response.close()
        self._record_unreachable(replica_id)
        return AttemptFailure(retries.Outcome.BROKEN)

    def _record_unreachable(self, replica_id: str) -> None:
        self._shared.health.record_unreachable(replica_id, self._shared.now())


def _is_event_stream(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a response may consist of events."""
    if response.status != _OK:
        return False
    has_type = "Content-Type" in response.headers
    return not has_type or response.content_type == _EVENT_STREAM


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a response has a length or chunks."""
    return (
        "Content-Length" in response.headers
        or "Transfer-Encoding" in response.headers
    )
