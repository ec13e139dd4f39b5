"""The client's side of one HTTP request: its body and the response to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from agatedock import body_buffers
from agatedock.serving import client_connections
from agatedock.serving import downstream
from agatedock.serving import request_errors

# Retry-After if there is no room for another body.
BUFFERS_FULL_RETRY_AFTER_S = 1.0


class HttpDownstream(downstream.Downstream):
    """Downstream of one HTTP request."""

    def __init__(
        self,
        http_request: web.BaseRequest,
        should_close: Callable[[], bool],
        buffer: body_buffers.Buffer,
    ):
        """Initializes the downstream of a request.

        Args:
          http_request: The request, with its body not read yet.
          should_close: Returns whether the connection is to be closed after the
            response.
          buffer: Counts the bytes of the body.
        """
        self._buffer = buffer
        self._http_request = http_request
        self._should_close = should_close
        self._response: web.StreamResponse | None = None

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Returns the complete body."""
        http_request = self._http_request
        if not http_request.body_exists:
            return b""
        if (http_request.content_length or 0) > limit_bytes:
            raise request_errors.RequestError(
                request_errors.ErrorCode.TOO_LARGE
            )
        if http_request.headers.get("Expect", "").lower() == "100-continue":
            await http_request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            http_request.writer.output_size = 0
        connection = http_request.protocol
        assert isinstance(connection, client_connections.ClientConnection)
        connection.read_body()
        try:
            async with asyncio.timeout(timeout_s):
                return await body_buffers.read_buffered(
                    http_request.content.readany,
                    limit_bytes,
                    self._buffer,
                    client_connections.PENDING_MAX_BYTES,
                )
        except body_buffers.BodyTooLargeError as error:
            raise request_errors.RequestError(
                request_errors.ErrorCode.TOO_LARGE
            ) from error
        except body_buffers.BuffersFullError as error:
            raise request_errors.RequestError(
                request_errors.ErrorCode.BUFFERS_FULL,
                str(error),
                retry_after_s=BUFFERS_FULL_RETRY_AFTER_S,
            ) from error
        except TimeoutError as error:
            raise request_errors.RequestError(
                request_errors.ErrorCode.READ_TIMEOUT
            ) from error
        except web.RequestPayloadError as error:
            raise request_errors.RequestError(
                request_errors.ErrorCode.BAD_REQUEST
            ) from error

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a complete response."""
        response = web.Response(status=status, body=body)
        _set_headers(response, headers)
        await self._prepare(response)
        await response.write_eof()

    async def start_stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Sends the response head of a stream."""
        response = web.StreamResponse(status=status)
        _set_headers(response, headers)
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        """Sends a chunk of a stream."""
        assert self._response is not None
        await self._response.write(data)

    async def end_stream(self) -> None:
        """Ends a stream as complete."""
        assert self._response is not None
        await self._response.write_eof()

    async def abort_stream(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Aborts the connection; the client sees an incomplete stream."""
        del request_error
        self.abort()

    def abort(self) -> None:
        """Aborts the connection without a response."""
        if self._http_request.transport is not None:
            self._http_request.transport.abort()

    @property
    def response(self) -> web.StreamResponse | None:
        """Returns the response that was begun; None if there is none."""
        return self._response

    async def _prepare(self, response: web.StreamResponse) -> None:
        # A client must not reuse a connection whose request it has not sent.
        if self._should_close() or not self._http_request.content.is_eof():
            response.force_close()
        self._response = response
        await response.prepare(self._http_request)


def _set_headers(
    response: web.StreamResponse, headers: list[tuple[str, str]]
) -> None:
    """Replaces all headers of a response."""
    response.headers.clear()
    for name, value in headers:
        response.headers.add(name, value)
