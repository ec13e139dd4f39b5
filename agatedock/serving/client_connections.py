"""Connections of clients, with limits on what they may send."""

from __future__ import annotations

import asyncio
import collections
import enum
import logging
from typing import Any

import aiohttp
from aiohttp import web

from agatedock import clock
from agatedock import connections
from agatedock import logs
from agatedock.decisions import client_limits
from agatedock.domain import configuration

_log = logging.getLogger(__name__)

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


class Reason(enum.StrEnum):
    """Why a connection of a client was closed."""

    # A head, or empty lines before one.
    HEAD_TOO_LARGE = "head_too_large"
    # All heads that are arriving exceed their limit.
    HEADS_FULL = "heads_full"
    # Lengths, extensions or trailers of pieces with little data.
    BODY_OVERHEAD = "body_overhead"
    # There are more connections than the process may have.
    CONNECTIONS_FULL = "connections_full"


class ClientConnections:
    """The open connections of clients.

    Attributes:
      heads_bytes: Bytes of the heads that are arriving.
      counts: Number of connections closed, by reason.
    """

    def __init__(self, limits: client_limits.ClientLimits) -> None:
        """Starts without connections.

        Args:
          limits: What all clients together may make the process hold.
        """
        self._limits = limits
        self._open: set[ClientConnection] = set()
        # Those that got a response and wait for another request.
        self._idle: set[ClientConnection] = set()
        self.heads_bytes = 0
        self.counts: collections.Counter[Reason] = collections.Counter()

    def add(self, connection: ClientConnection) -> None:
        """Adds a connection; another one is closed if there are too many."""
        closed = None
        if len(self._open) >= self._limits.connections:
            closed = client_limits.choose_connection(self._open) or connection
        self._open.add(connection)
        if closed is not None:
            closed.cut(Reason.CONNECTIONS_FULL)

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection that was closed."""
        self.resize_head(connection, 0)
        self._open.discard(connection)
        self._idle.discard(connection)

    def resize_head(
        self, connection: ClientConnection, size_bytes: int
    ) -> None:
        """Sets the bytes of an arriving head, and drops others if it has to."""
        self.heads_bytes += size_bytes - connection.size_bytes
        connection.size_bytes = size_bytes
        while self.heads_bytes > self._limits.heads_bytes:
            arriving = [item for item in self._open if item.size_bytes]
            now = clock.read_steady_s()
            dropped = client_limits.choose_dropped(arriving, now)
            assert dropped is not None
            dropped.cut(Reason.HEADS_FULL)

    def set_idle(self, connection: ClientConnection, is_idle: bool) -> None:
        """Records whether a connection waits for another request."""
        if is_idle:
            self._idle.add(connection)
        else:
            self._idle.discard(connection)

    def is_idle(self, connection: ClientConnection) -> bool:
        """Returns whether a connection waits for another request."""
        return connection in self._idle

    def list_open(self) -> list[web.RequestHandler]:
        """Returns all open connections."""
        return list(self._open)

    def list_idle(self) -> list[web.RequestHandler]:
        """Returns the connections that wait for another request."""
        return list(self._idle)

    def record_cut(
        self, reason: Reason, size_bytes: int, elapsed_s: float
    ) -> None:
        """Records that a connection is closed.

        Args:
          reason: Why.
          size_bytes: Bytes received since its last request.
          elapsed_s: Time since it was opened.
        """
        self.counts[reason] += 1
        logs.event(
            _log,
            "client_cut",
            logging.WARNING,
            reason=reason,
            bytes=size_bytes,
            seconds=round(elapsed_s, 1),
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
        clients: ClientConnections,
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
            self.cut(Reason.HEAD_TOO_LARGE, _HEAD_TOO_LARGE_RESPONSE)

    def _count_body(self, size_bytes: int) -> None:
        """Counts bytes of a body, with what surrounds its data."""
        self._received_bytes += size_bytes
        assert self._body is not None
        if not self._force_close and client_limits.exceeds_overhead(
            self._received_bytes, self._body.total_bytes
        ):
            self.cut(Reason.BODY_OVERHEAD)

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

    def cut(self, reason: Reason, response: bytes = b"") -> None:
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
        clients: ClientConnections,
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
