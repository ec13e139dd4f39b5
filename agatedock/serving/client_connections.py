"""Connections of clients, with limits on what they may send."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

from agatedock import clock
from agatedock import connections
from agatedock.decisions import client_limits
from agatedock.domain import configuration
from agatedock.serving import open_connections

# Bytes of a body that one connection holds until they are used; reading stops
# at twice as many.
BUFFER_BYTES = 16 * 1024
# Bytes that are parsed at once.
BLOCK_BYTES = 32 * 1024
# Bytes that a connection with an arriving body may hold at most, beside those
# that were taken from it.
PENDING_MAX_BYTES = 2 * BUFFER_BYTES + BLOCK_BYTES
# Time for which one connection is read in a turn of the event loop.
TURN_MAX_S = 0.001
_HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
_HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


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
      size_bytes: Bytes of a head that is arriving.
      reads_body: Whether a request waits for the rest of its body.
    """

    __slots__ = (
        "_body",
        "_clients",
        "_had_request",
        "_head_started",
        "_limits",
        "_opened_at",
        "_received_bytes",
        "_timer",
        "_unanswered",
        "progress_at",
        "reads_body",
        "size_bytes",
    )

    def __init__(
        self,
        server: Server,
        clients: open_connections.OpenConnections,
        limits: configuration.Limits,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._clients = clients
        self._limits = limits
        self._timer: asyncio.TimerHandle | None = None
        # Whether a part of the next request head has arrived.
        self._head_started = False
        self._had_request = False
        # Requests whose response is not complete. The library knows of one only
        # once its task has begun, and its body may arrive before.
        self._unanswered = 0
        # Body of the last request, and the bytes received since its head.
        self._body: aiohttp.StreamReader | None = None
        self._received_bytes = 0
        self._opened_at = self.progress_at = clock.read_steady_s()
        self.size_bytes = 0
        self.reads_body = False

    @property
    def phase(self) -> client_limits.Phase:
        """Returns what the connection waits for."""
        if self.reads_body:
            return client_limits.Phase.ARRIVING
        if self._unanswered:
            return client_limits.Phase.SERVED
        if self._had_request and not self.size_bytes:
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
        self._clients.set_idle(self, False)
        began_at = clock.read_steady_s()
        count_before = self._request_count
        was_in_body = self._reads_rest_of_body()
        super().data_received(data)
        request_count = self._request_count - count_before
        if request_count:
            self._begin_requests(request_count)
        elif was_in_body:
            self._count_body(len(data))
        else:
            self._count_head(len(data))
        if data:
            self.progress_at = began_at
            self._update_timer()
        # After a block that is not full nothing more waits to be read.
        is_full = len(data) >= BLOCK_BYTES
        if is_full and clock.read_steady_s() - began_at > TURN_MAX_S:
            self._yield_turn()

    def _update_timer(self) -> None:
        """Starts the timer of a head, or stops it if a request was read."""
        if self._unanswered or self._reads_rest_of_body():
            self._stop_timer()
        elif self._timer is None or not self._head_started:
            self._start_head_timer(self._limits.header_timeout_s)
        self._head_started = True

    def _begin_requests(self, count: int) -> None:
        """Records that the heads of some requests are complete."""
        self._had_request = True
        self._unanswered += count
        self._received_bytes = 0
        self._clients.resize_head(self, 0)
        self._body = self._messages[-1][1] if self._messages else None

    def _count_head(self, size_bytes: int) -> None:
        """Counts bytes of a head, or empty lines before it."""
        if self._force_close:
            return
        self._clients.resize_head(self, self.size_bytes + size_bytes)
        head_max_bytes = (
            client_limits.HEAD_LINES_FACTOR * self._limits.header_bytes
        )
        if self.size_bytes > head_max_bytes:
            self.cut(
                open_connections.Reason.HEAD_TOO_LARGE, _HEAD_TOO_LARGE_RESPONSE
            )

    def _count_body(self, size_bytes: int) -> None:
        """Counts bytes of a body, with what surrounds its data."""
        self._received_bytes += size_bytes
        assert self._body is not None
        if not self._force_close and client_limits.exceeds_overhead(
            self._received_bytes, self._body.total_bytes
        ):
            self.cut(open_connections.Reason.BODY_OVERHEAD)

    def _reads_rest_of_body(self) -> bool:
        """Returns whether the last body goes on, also after its response."""
        return self._body is not None and not self._body.is_eof()

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
        super().connection_lost(exc)

    def handle_response(self) -> None:
        """Records that a request was answered."""
        self._unanswered = max(0, self._unanswered - 1)
        self._clients.set_idle(
            self, self.transport is not None and not self._unanswered
        )

    def cut(
        self, reason: open_connections.Reason, response: bytes = b""
    ) -> None:
        """Closes the connection.

        Args:
          reason: Why.
          response: Is sent before if no request waits for another response.
        """
        transport = self.transport
        if transport is None:
            return
        elapsed_s = clock.read_steady_s() - self._opened_at
        size_bytes = max(self._received_bytes, self.size_bytes)
        self._clients.record_cut(reason, size_bytes, elapsed_s)
        self._clients.remove(self)
        if response and not self._unanswered:
            transport.write(response)
            self.force_close()
            return
        self.force_close()
        transport.abort()

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
        if transport is None or self._unanswered:
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
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._clients = clients
        self._limits = limits
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Returns the handler of a new connection."""
        loop = asyncio.get_running_loop()
        return ClientConnection(
            self, self._clients, self._limits, loop=loop, **self._options
        )
