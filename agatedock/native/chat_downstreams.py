"""The caller's side of a chat: a stream of events, or one JSON body."""

from __future__ import annotations

import json

from agatedock.domain import requests
from agatedock.native import native_dialect
from agatedock.serving import downstream
from agatedock.serving import request_errors


class EventStreamDownstream(downstream.Downstream):
    """Gets events; an answer that cannot be completed ends with an error."""

    def __init__(
        self,
        inner: downstream.Downstream,
        request: requests.Request,
        body: bytes,
    ) -> None:
        """Wraps a caller's connection.

        Args:
          inner: The connection.
          request: The chat request.
          body: Its body as engines take it.
        """
        self._inner = inner
        self._request = request
        self._body = body

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Returns the body, which was read before the model was known."""
        del limit_bytes, timeout_s
        return self._body

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a whole answer."""
        await self._inner.send_response(status, headers, body)

    async def start_stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Sends the head of a stream."""
        await self._inner.start_stream(
            status, [*headers, ("Cache-Control", "no-store")]
        )

    async def write(self, data: bytes) -> None:
        """Sends a piece of a stream."""
        await self._inner.write(data)

    async def end_stream(self) -> None:
        """Ends a stream as complete."""
        await self._inner.end_stream()

    async def abort_stream(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Ends a stream with an error and without its end mark."""
        response = native_dialect.make_error_response(
            self._request.request_id, request_error
        )
        await self._inner.write(
            b"event: error\ndata: " + response.body + b"\n\n"
        )
        await self._inner.end_stream()


class BufferingDownstream(EventStreamDownstream):
    """Gets one JSON body once the whole answer is there."""

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
        """Keeps the head until the answer is complete."""
        self._status = status
        self._headers = [
            (name, value)
            for name, value in headers
            if name.lower() != "content-type"
        ]

    async def write(self, data: bytes) -> None:
        """Keeps a piece of the answer."""
        self._chunks.append(data)

    async def end_stream(self) -> None:
        """Sends the whole answer."""
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
        """Sends why there is no whole answer."""
        response = native_dialect.make_error_response(
            self._request.request_id, request_error
        )
        await self._inner.send_response(
            response.status, response.headers, response.body
        )
