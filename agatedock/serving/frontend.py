"""HTTP server for clients."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Any

from aiohttp import web

from agatedock import body_buffers
from agatedock import logs
from agatedock.domain import configuration
from agatedock.serving import downstream
from agatedock.serving import request_errors

_log = logging.getLogger(__name__)

# Limits until the first configuration is applied.
DEFAULT_LIMITS = configuration.Limits(
    header_bytes=16 * 1024,
    body_bytes=1024 * 1024,
    header_timeout_s=10.0,
    idle_timeout_s=60.0,
)
HEADERS_MAX = 256
# Bodies of requests that are held at the same time.
BODIES_MAX_BYTES = 32 * 1024 * 1024
# Retry-After if there is no room for another body.
BUFFERS_FULL_RETRY_AFTER_S = 1.0
# How long a connection is still read after an early response. Closing it with
# unread data would reset it, and the client might lose the response.
LINGERING_TIME_S = 2.0
_HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)

HttpHandler = Callable[[web.BaseRequest, "HttpDownstream"], Awaitable[None]]


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
        try:
            async with asyncio.timeout(timeout_s):
                return await body_buffers.read_buffered(
                    http_request.content.readany, limit_bytes, self._buffer
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
        if self._should_close():
            response.force_close()
        self._response = response
        await response.prepare(self._http_request)


class _Connection(web.RequestHandler):
    """Client connection with timeouts for request heads.

    It stops being idle as soon as any byte arrives, so that it is not closed
    while a request is being read. It is closed if a request head stays
    incomplete for the header timeout, or if nothing arrives on a new connection
    for the idle timeout.
    """

    __slots__ = ("_head_started", "_idle_connections", "_limits", "_timer")

    def __init__(
        self,
        server: _Server,
        idle_connections: set[web.RequestHandler],
        limits: configuration.Limits,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._idle_connections = idle_connections
        self._limits = limits
        self._timer: asyncio.TimerHandle | None = None
        # Whether a part of the next request head has arrived.
        self._head_started = False

    @property
    def has_next_request(self) -> bool:
        """Returns whether another request is already in the queue."""
        return bool(self._messages)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._start_head_timer(self._limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        self._idle_connections.discard(self)
        super().data_received(data)
        if self._messages or self._current_request is not None:
            self._stop_timer()
        elif self._timer is None or not self._head_started:
            self._start_head_timer(self._limits.header_timeout_s)
        self._head_started = True

    def connection_lost(self, exc: BaseException | None) -> None:
        self._stop_timer()
        super().connection_lost(exc)

    def _start_head_timer(self, timeout_s: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_s, self._handle_timeout)

    def _stop_timer(self) -> None:
        self._head_started = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        """Closes the connection; sends a 408 if a head was incomplete."""
        transport = self.transport
        if transport is None:
            return
        if self._head_started and isinstance(transport, asyncio.Transport):
            transport.write(_HEAD_TIMEOUT_RESPONSE)
        self.force_close()


class _Server(web.Server):
    """HTTP server that keeps track of its idle connections."""

    def __init__(
        self,
        handler: Any,
        idle_connections: set[web.RequestHandler],
        limits: configuration.Limits,
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._idle_connections = idle_connections
        self._limits = limits
        self._options = options

    def __call__(self) -> web.RequestHandler:
        loop = asyncio.get_running_loop()
        return _Connection(
            self,
            self._idle_connections,
            self._limits,
            loop=loop,
            **self._options,
        )

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        self._idle_connections.discard(handler)
        super().connection_lost(handler, exc)


class Frontend:
    """Accepts client connections with the limits of the configuration.

    Attributes:
      bodies: The bodies of all requests that are served at present.
    """

    def __init__(self, http_handler: HttpHandler) -> None:
        self._http_handler = http_handler
        self._limits = DEFAULT_LIMITS
        self.bodies = body_buffers.BodyBuffers(BODIES_MAX_BYTES)
        self._servers: list[web.Server] = []
        self._listener: asyncio.Server | None = None
        self._close_after_response = False
        # Connections that got a response and wait for another request.
        self._idle_connections: set[web.RequestHandler] = set()

    async def start(self, host: str, port: int) -> int:
        """Listens for clients; returns the port."""
        self._servers.append(self._make_server(DEFAULT_LIMITS))
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: self._servers[-1](), host, port, backlog=1024
        )
        return self._listener.sockets[0].getsockname()[1]

    def apply_limits(self, limits: configuration.Limits) -> None:
        """Applies limits to connections that are accepted from now on."""
        if limits == self._limits:
            return
        self._limits = limits
        self._servers = [
            server for server in self._servers if server.connections
        ]
        self._servers.append(self._make_server(limits))

    def disable_keepalive(self) -> None:
        """Closes each connection after its next response from now on."""
        self._close_after_response = True

    def close_idle_connections(self) -> None:
        """Closes the connections that wait for another request.

        A connection without any request so far stays open: a request may be
        in transit, and its client does not know yet that the router is
        draining.
        """
        for connection in self.list_idle_connections():
            connection.force_close()
        self._idle_connections.clear()

    def list_idle_connections(self) -> list[web.RequestHandler]:
        """Returns the idle connections: those that wait for another request."""
        return list(self._idle_connections)

    def count_connections(self) -> int:
        """Returns the number of open connections."""
        return sum(len(server.connections) for server in self._servers)

    async def stop(self) -> None:
        """Stops listening and closes the remaining connections."""
        if self._listener is not None:
            self._listener.close()
        for server in self._servers:
            await server.shutdown(0.1)

    def _make_server(self, limits: configuration.Limits) -> web.Server:
        return _Server(
            self._handle,
            self._idle_connections,
            limits,
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=LINGERING_TIME_S,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=HEADERS_MAX,
        )

    async def _handle(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        buffer = self.bodies.open()
        client = HttpDownstream(
            http_request, lambda: self._close_after_response, buffer
        )
        try:
            await self._http_handler(http_request, client)
        except OSError:
            # The client has disconnected, which also cancelled its request.
            client.abort()
        except Exception as error:  # noqa: BLE001
            logs.event(_log, "internal_error", logging.ERROR, error=repr(error))
            _log.debug("traceback", exc_info=True)
            if client.response is None:
                await client.send_response(502, [], b"internal\n")
            else:
                client.abort()
        finally:
            buffer.close()
        connection = http_request.protocol
        assert isinstance(connection, _Connection)
        if (
            http_request.transport is not None
            and not connection.has_next_request
        ):
            self._idle_connections.add(connection)
        return client.response or web.Response(status=502)


def _set_headers(
    response: web.StreamResponse, headers: list[tuple[str, str]]
) -> None:
    """Replaces all headers of a response."""
    response.headers.clear()
    for name, value in headers:
        response.headers.add(name, value)
