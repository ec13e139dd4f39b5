"""Passes the answers of replicas on to the client of one request."""

from __future__ import annotations

import asyncio
import dataclasses

import aiohttp

from agatedock.decisions import retries
from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.serving import access_log
from agatedock.serving import dialect
from agatedock.serving import downstream
from agatedock.serving import sse
from agatedock.serving import state

# Largest answer of a plain route that is held until it is complete.
RESPONSE_MAX_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass
class AttemptFailure:
    """A send that brought no usable answer.

    Attributes:
      response: A replica's own failure, to be passed on if nothing better
        comes.
    """

    outcome: retries.Outcome
    response: dialect.Response | None = None


class ResponseForwarder:
    """What the client of one request has got so far.

    Attributes:
      streaming: Whether the head of a stream has been sent.
      last_event_id: Where a broken stream is to go on.
      delivered_events: Events that the client has, if the dialect asks for
        them.
    """

    def __init__(
        self,
        shared: state.SharedState,
        request: requests.Request,
        client: downstream.Downstream,
        entry: access_log.AccessLogEntry,
    ) -> None:
        self._shared = shared
        self._request = request
        self._client = client
        self._entry = entry
        self.streaming = False
        self.last_event_id = request.last_event_id
        self._passed: list[bytes] = []
        # The latest events, with which a complete stream must end.
        self._tail = b""

    @property
    def delivered_events(self) -> bytes:
        """Returns the events that the client has."""
        return b"".join(self._passed)

    async def forward_response(
        self,
        route: configuration.Route,
        replica_id: str,
        kind: dialect.ResponseKind,
        reply: aiohttp.ClientResponse,
        body_timeout_s: float | None,
    ) -> AttemptFailure | None:
        """Passes an answer on; returns None once the client has it whole.

        Args:
          route: Of the request.
          replica_id: Who answers.
          kind: What the head of the answer says.
          reply: The answer, its body not read yet.
          body_timeout_s: Time for the body of an answer in one piece; None
            without limit.
        """
        streams = route.kind is configuration.RouteKind.STREAM
        if kind is dialect.ResponseKind.SUCCESS and streams:
            return await self._pass_stream(route, replica_id, reply)
        return await self._pass_whole(replica_id, kind, reply, body_timeout_s)

    async def _pass_whole(
        self,
        replica_id: str,
        kind: dialect.ResponseKind,
        reply: aiohttp.ClientResponse,
        body_timeout_s: float | None,
    ) -> AttemptFailure | None:
        """Reads a whole answer and passes it on if it is a success."""
        shared = self._shared
        try:
            async with asyncio.timeout(body_timeout_s):
                body = await _read_limited(reply)
        except TimeoutError:
            self._note_broken(replica_id)
            return AttemptFailure(retries.Outcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError):
            self._note_broken(replica_id)
            return AttemptFailure(retries.Outcome.BROKEN)
        good = kind is dialect.ResponseKind.SUCCESS
        shared.health.record_result(replica_id, good, shared.now())
        headers = shared.dialect.build_response_headers(
            self._request, replica_id, reply.headers
        )
        if good:
            self._entry.outcome = "answered"
            self._entry.status = reply.status
            await self._client.send_response(reply.status, headers, body)
            return None
        if kind is dialect.ResponseKind.AMBIGUOUS or self.streaming:
            return AttemptFailure(retries.Outcome.FAILED)
        return AttemptFailure(
            retries.Outcome.FAILED,
            dialect.Response(reply.status, headers, body),
        )

    async def _pass_stream(
        self,
        route: configuration.Route,
        replica_id: str,
        reply: aiohttp.ClientResponse,
    ) -> AttemptFailure | None:
        """Passes events on as they arrive; returns None at their end."""
        await self._begin(replica_id, reply)
        splitter = sse.SseSplitter(
            self.last_event_id, self._shared.dialect.has_sequential_event_ids
        )
        silence_s = (
            self._shared.timeouts.stream_idle_timeout_s
            if route.resumable
            else None
        )
        loop = asyncio.get_running_loop()
        event_at = loop.time()
        while True:
            # Bytes that complete no event are silence, too.
            limit_at = None if silence_s is None else event_at + silence_s
            try:
                async with asyncio.timeout_at(limit_at):
                    chunk = await reply.content.readany()
                batch = self._check(splitter.feed(chunk))
            except TimeoutError:
                self._note_broken(replica_id)
                return AttemptFailure(retries.Outcome.TIMED_OUT)
            except (aiohttp.ClientError, OSError, sse.InvalidStreamError):
                self._note_broken(replica_id)
                return AttemptFailure(retries.Outcome.BROKEN)
            if batch.data:
                await self._write(batch)
                event_at = loop.time()
            if not chunk:
                break
        mark = self._shared.dialect.end_marker
        if not splitter.at_event_boundary or not self._tail.endswith(mark):
            self._note_broken(replica_id)
            return AttemptFailure(retries.Outcome.BROKEN)
        self._shared.health.record_result(replica_id, True, self._shared.now())
        self._entry.outcome = "answered"
        await self._client.end_stream()
        return None

    def _check(self, batch: sse.Batch) -> sse.Batch:
        """Returns a batch whose events belong to the request.

        Raises:
          events.InvalidStreamError: One does not.
        """
        if batch.data and not self._shared.dialect.matches_request(
            self._request, batch.data
        ):
            raise sse.InvalidStreamError("event of another request")
        return batch

    async def _begin(
        self, replica_id: str, reply: aiohttp.ClientResponse
    ) -> None:
        """Sends the head, which stays that of the first replica."""
        if self.streaming:
            return
        self.streaming = True
        self._entry.status = reply.status
        headers = self._shared.dialect.build_response_headers(
            self._request, replica_id, reply.headers
        )
        await self._client.start_stream(reply.status, headers)

    async def _write(self, batch: sse.Batch) -> None:
        self._entry.record_chunk(self._shared.now())
        self.last_event_id = batch.last_id or self.last_event_id
        self._tail = batch.data
        if self._shared.dialect.needs_delivered_events:
            self._passed.append(batch.data)
        await self._client.write(batch.data)

    def _note_broken(self, replica_id: str) -> None:
        self._shared.health.record_unreachable(replica_id, self._shared.now())


async def _read_limited(reply: aiohttp.ClientResponse) -> bytes:
    pieces: list[bytes] = []
    size = 0
    async for piece in reply.content.iter_any():
        pieces.append(piece)
        size += len(piece)
        if size > RESPONSE_MAX_BYTES:
            raise aiohttp.ClientPayloadError("answer too large")
    return b"".join(pieces)
