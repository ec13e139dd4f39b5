"""Connections of clients, with limits on what they may send."""

from __future__ import annotations

import asyncio
import re
from typing import Any

import aiohttp
from aiohttp import http
from aiohttp import web
from aiohttp import web_protocol

from agatedock import clock
from agatedock import connections
from agatedock.decisions import client_limits
from agatedock.domain import configuration
from agatedock.serving import held_requests
from agatedock.serving import open_connections

# Bytes of a body that one connection holds until they are used; reading stops
# at twice as many.
BUFFER_BYTES = 16 * 1024
# Bytes that are parsed at once.
BLOCK_BYTES = 16 * 1024
# Bytes that a connection with an arriving body may hold at most, beside those
# that were taken from it.
PENDING_MAX_BYTES = 2 * BUFFER_BYTES + BLOCK_BYTES
HEADERS_MAX = 256
# How long a connection is still read after an early response. Closing it with
# unread data would reset it, and the client might lose the response.
LINGERING_TIME_S = 2.0
# Requests of one connection that are parsed while another one is served.
QUEUED_REQUESTS_MAX = 2
# Time for which one connection is read in a turn of the event loop.
TURN_MAX_S = 0.001
# The length of the last piece of a body.
_LAST_PIECE_PATTERN = re.compile(rb"\r\n0+[ \t]*[;\r]")
_HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
# Responses to requests that were not begun when their connection is closed.
_CUT_RESPONSES = {
    open_connections.Reason.HEAD_TOO_LARGE: (
        b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
        b"Connection: close\r\nContent-Length: 0\r\n\r\n"
    ),
    open_connections.Reason.REQUESTS_FULL: (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
        b"Connection: close\r\nContent-Length: 0\r\n\r\n"
    ),
}


class ClientConnection(web.RequestHandler):
    """Connection of a client.

    It is read in small blocks, and others have their turn after blocks that
    take long. It is closed if a request head stays incomplete for the header
    timeout, if nothing arrives on a new connection for the idle timeout, or if
    a head or what surrounds the data of a body exceeds its limit. It stops
    being idle as soon as any byte arrives, so that it is not closed while a
    request is being read.

    Attributes:
      progress_at: When its last bytes arrived, in seconds.
    """

    __slots__ = (
        "_bare_bytes",
        "_body",
        "_clients",
        "_data_bytes",
        "_had_request",
        "_head_started",
        "_is_held",
        "_limits",
        "_opened_at",
        "_received_bytes",
        "_requests",
        "_timer",
        "progress_at",
    )

    def __init__(
        self,
        server: Server,
        clients: open_connections.OpenConnections,
        limits: configuration.Limits,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._limit_queue()
        self._clients = clients
        self._limits = limits
        self._timer: asyncio.TimerHandle | None = None
        # Whether a part of the next request head has arrived.
        self._head_started = False
        self._had_request = False
        # The library knows of a request only once its task has begun, and its
        # body may arrive before.
        self._requests = held_requests.HeldRequests()
        # Body of the last request, the bytes received since its head, and those
        # of them that are its data.
        self._body: aiohttp.StreamReader | None = None
        self._received_bytes = 0
        self._data_bytes = 0
        # Bytes received since the last of its data.
        self._bare_bytes = 0
        # Whether a body is not read on, as no request has asked for it.
        self._is_held = False
        self._opened_at = self.progress_at = clock.read_steady_s()

    def _limit_queue(self) -> None:
        """Lets few requests be parsed ahead.

        The library has no option for it.
        """
        self._max_msg_queue_size = QUEUED_REQUESTS_MAX
        self._msg_queue_resume_size = QUEUED_REQUESTS_MAX // 2
        self._parser = http.HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=QUEUED_REQUESTS_MAX,
        )

    @property
    def size_bytes(self) -> int:
        """Returns the memory of its requests, without their bodies."""
        size_bytes = self._requests.size_bytes
        if self._reads_rest_of_body():
            size_bytes += client_limits.BODY_PART_BYTES
        return size_bytes

    @property
    def phase(self) -> client_limits.Phase:
        """Returns what the connection waits for."""
        if self._reads_rest_of_body():
            return client_limits.Phase.ARRIVING
        if self._requests.count_unanswered():
            return client_limits.Phase.SERVED
        if self._had_request and not self._requests.arriving_bytes:
            return client_limits.Phase.IDLE
        return client_limits.Phase.ARRIVING

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to read in blocks."""
        super().connection_made(transport)
        transport.set_protocol(connections.BlockReader(self, _block))
        self._start_head_timer(self._limits.idle_timeout_s)
        self._clients.add(self)

    def data_received(self, data: bytes) -> None:
        """Parses a block, or what is left of one after a pause."""
        began_at = clock.read_steady_s()
        count_before = self._request_count
        was_in_body = self._reads_rest_of_body()
        super().data_received(data)
        request_count = self._request_count - count_before
        if request_count:
            self._begin_requests(request_count, data)
        elif was_in_body:
            self._count_body(data)
        else:
            self._count_head(data)
        if data:
            self.progress_at = began_at
            self._update_timer()
        self._clients.update(self)
        # After a block that is not full nothing more waits to be read.
        is_full = len(data) >= BLOCK_BYTES
        if is_full and clock.read_steady_s() - began_at > TURN_MAX_S:
            self._yield_turn()

    def _update_timer(self) -> None:
        """Starts the timer of a head, or stops it if a request was read."""
        if self._requests.count_unanswered() or self._reads_rest_of_body():
            self._stop_timer()
        elif self._timer is None or not self._head_started:
            self._start_head_timer(self._limits.header_timeout_s)
        self._head_started = True

    def _begin_requests(self, count: int, data: bytes) -> None:
        """Records that the heads of some requests are complete.

        Args:
          count: Number of the requests, which are the last ones of the queue.
          data: The block in which they ended.
        """
        queued = list(self._messages)[-count:]
        self._body = queued[-1][1] if queued else None
        self._had_request = True
        self._received_bytes = 0
        self._data_bytes = 0
        self._bare_bytes = 0
        messages = [message for message, _ in queued]
        if held_requests.measure_largest(messages) > self._head_max_bytes:
            # It came in few blocks, and was complete before it was counted.
            self.cut(open_connections.Reason.HEAD_TOO_LARGE)
            return
        self._requests.begin_requests(messages)
        self._count_rest(data)
        if self._reads_rest_of_body():
            self._is_held = True
            self._pause_transport_reading()

    def _count_head(self, data: bytes) -> None:
        """Counts bytes of a head, or empty lines before it."""
        if self._force_close:
            return
        if not data:
            # What was kept of a block is parsed, up to a part of a head.
            self._requests.set_lines(b"")
            return
        self._requests.add_lines(data)
        if self._requests.arriving_bytes > self._head_max_bytes:
            self.cut(open_connections.Reason.HEAD_TOO_LARGE)

    @property
    def _head_max_bytes(self) -> int:
        """Returns the largest size of a whole head in bytes."""
        return client_limits.HEAD_LINES_FACTOR * self._limits.header_bytes

    def _count_body(self, data: bytes) -> None:
        """Counts bytes of a body, with what surrounds its data."""
        assert self._body is not None
        if self._force_close:
            return
        self._received_bytes += len(data)
        if self._body.total_bytes > self._data_bytes:
            self._data_bytes = self._body.total_bytes
            self._bare_bytes = 0
            self._count_rest(data)
        else:
            # Trailers, or what precedes the data of a piece.
            self._bare_bytes += len(data)
            self._requests.add_lines(data)
        if (
            client_limits.exceeds_overhead(
                self._received_bytes, self._data_bytes
            )
            or self._bare_bytes > self._head_max_bytes
        ):
            self.cut(open_connections.Reason.BODY_OVERHEAD)

    def _count_rest(self, data: bytes) -> None:
        """Counts what the library keeps of a block beside heads and data.

        The data of a body may contain what looks like its last piece; then too
        much is counted until the next block.
        """
        if self._buffer_paused:
            # Requests that are not parsed yet.
            self._requests.set_lines(data)
            return
        match = None
        if self._reads_rest_of_body():
            match = _LAST_PIECE_PATTERN.search(data)
        # Trailers behind the last piece.
        self._requests.set_lines(data[match.end() :] if match else b"")

    def _reads_rest_of_body(self) -> bool:
        """Returns whether the last body goes on, also after its response."""
        return self._body is not None and not self._body.is_eof()

    def read_body(self) -> None:
        """Reads a body on whose beginning came with its head."""
        if self._is_held:
            self._is_held = False
            self._go_on()

    def _resume_transport_reading(self) -> None:
        if not self._is_held:
            super()._resume_transport_reading()

    def _yield_turn(self) -> None:
        """Lets other connections be read before the next block."""
        self._pause_transport_reading()
        asyncio.get_running_loop().call_soon(self._go_on)

    def _go_on(self) -> None:
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets the connection."""
        self._stop_timer()
        self._clients.remove(self)
        self._body = None
        super().connection_lost(exc)

    def handle_response(self) -> None:
        """Records that a request was answered."""
        # What is left of a refused body is dropped.
        self.read_body()
        # The library holds a request until its body has ended as well; the
        # connection is closed then.
        if not self._reads_rest_of_body():
            self._requests.end_request()
        self._clients.update(self)

    def cut(self, reason: open_connections.Reason) -> None:
        """Closes the connection, with a response if no request was begun."""
        transport = self.transport
        if transport is None:
            return
        elapsed_s = clock.read_steady_s() - self._opened_at
        size_bytes = max(self._received_bytes, self._requests.arriving_bytes)
        self._clients.record_cut(reason, size_bytes, elapsed_s)
        self._clients.remove(self)
        begun = self._requests.count_unanswered() - len(self._messages)
        self._discard_queue()
        response = _CUT_RESPONSES.get(reason)
        if response is not None and begun <= 0:
            transport.write(response)
            self.force_close()
            return
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once, without the rest of a response."""
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def _discard_queue(self) -> None:
        """Frees requests that were parsed and are not served yet.

        Many connections may be read, and closed again, before the library is
        told that one of them is closed; it expects as many requests.
        """
        no_request = (web_protocol.ERROR, aiohttp.EMPTY_PAYLOAD)
        for index in range(len(self._messages)):
            self._messages[index] = no_request
        self._parser = None
        self._body = None

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
        if transport is None or self._requests.count_unanswered():
            return
        if self._head_started:
            transport.write(_HEAD_TIMEOUT_RESPONSE)
        self.force_close()


# Shared by all connections.
_block = bytearray(BLOCK_BYTES)


class Server(web.Server):
    """HTTP server whose connections have the limits of this module."""

    def __init__(
        self,
        handler: Any,
        clients: open_connections.OpenConnections,
        limits: configuration.Limits,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
          handler: Handles the requests.
          clients: The open connections, also those of other servers.
          limits: Limits on single requests.
        """
        super().__init__(handler, handler_cancellation=True)
        self._clients = clients
        self._limits = limits

    def __call__(self) -> web.RequestHandler:
        """Returns the handler of a new connection."""
        return ClientConnection(
            self,
            self._clients,
            self._limits,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=self._limits.idle_timeout_s,
            lingering_time=LINGERING_TIME_S,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            max_headers=HEADERS_MAX,
            read_bufsize=BUFFER_BYTES,
        )
