"""Client side of a chat: a stream of server-sent events, or one JSON body."""

from __future__ import annotations

import json

from agatedock.domain import requests
from agatedock.native import native_dialect
from agatedock.serving import downstream
from agatedock.serving import request_errors


class EventStreamDownstream(downstream.Downstream):
    """Forwards events; an incomplete stream ends with an `error` event."""

    def __init__(
        self,
        inner: downstream.Downstream,
        request: requests.Request,
        body: bytes,
    ) -> None:
        """Wraps a client connection.

        Args:
          inner: The connection.
          request: The chat request.
          body: The request body for the engine.
        """
        self._inner = inner
        self._request = request
        self._body = body

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Returns the body, already read since it names the model."""
        del limit_bytes, timeout_s
        return self._body

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a complete response."""
        await self._inner.send_response(status, headers, body)

    async def start_stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Sends status and headers of a stream; it must not be cached."""
        await self._inner.start_stream(
            status, [*headers, ("Cache-Control", "no-store")]
        )

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the stream."""
        await self._inner.write(data)

    async def end_stream(self) -> None:
        """Ends the stream as complete."""
        await self._inner.end_stream()

    async def abort_stream(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Ends the stream with an `error` event instead of DONE_EVENT."""
        response = native_dialect.make_error_response(
            self._request.request_id, request_error
        )
        await self._inner.write(
            b"event: error\ndata: " + response.body + b"\n\n"
        )
        await self._inner.end_stream()


class BufferingDownstream(EventStreamDownstream):
    """Buffers the stream and sends it as one JSON body."""

    def __init__(
        self,
        inner: downstream.Downstream,
        request: requests.Request,
        body: bytes,
    ) -> None:
        super().__init__(inner, request, body)
        self._headers: list[tuple[str, str]] = []
        self._status = 0
        self._chunks: list[bytes] = []

    async def start_stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Stores status and headers until the stream is complete."""
        self._status = status
        self._headers = [
            (name, value)
            for name, value in headers
            if name.lower() != "content-type"
        ]

    async def write(self, data: bytes) -> None:
        """Stores a chunk of the stream."""
        self._chunks.append(data)

    async def end_stream(self) -> None:
        """Sends the chat completion; `usage` comes from the last event."""
        data = b"".join(self._chunks)
        body = {
            "id": self._request.request_id,
            "object": "chat.completion",
            "model": self._request.service,
            "choices": [
                {
                    "index": 0,
                    "message": {
                        "role": "assistant",
                        "content": native_dialect.extract_text(data),
                    },
                    "finish_reason": "stop",
                }
            ],
            "usage": native_dialect.parse_events(data)[-1].get("usage", {}),
        }
        headers = [*self._headers, ("Content-Type", "application/json")]
        await self._inner.send_response(
            self._status, headers, json.dumps(body).encode()
        )

    async def abort_stream(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Sends an error response instead of the chat completion."""
        response = native_dialect.make_error_response(
            self._request.request_id, request_error
        )
        await self._inner.send_response(
            response.status, response.headers, response.body
        )
