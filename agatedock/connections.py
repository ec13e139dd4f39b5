"""Connections of the HTTP clients, with limits on what peers may send.

The library parses all that a connection delivers at once, waits for a response
as long as informational responses arrive, and reads them leniently. These
connections read in small blocks, pause while their peer has used its share of
the event loop's time, close if a response does not begin, and take none that is
not within the grammar.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import time
from typing import Any

import aiohttp
from aiohttp import base_protocol
from aiohttp import client_proto
from aiohttp import helpers
from aiohttp import http

from agatedock import clock
from agatedock import response_syntax
from agatedock.decisions import pacing

# Bytes that are parsed at once.
BLOCK_BYTES = 8 * 1024
HEAD_MAX_BYTES = 32 * 1024
# Informational responses before the final one, and the bytes of all of them.
INFORMATIONAL_MAX = 32
INFORMATIONAL_MAX_BYTES = 64 * 1024
# Bytes of a body that one connection holds until they are used; reading stops
# at twice as many.
BUFFER_BYTES = 32 * 1024

# Peers beyond which those without connections are dropped.
PEERS_MAX = 1000

# Lower statuses are informational.
_FIRST_FINAL_STATUS = 200


class TooManyHeadsError(aiohttp.ClientConnectionError):
    """Informational responses were not followed by a final one.

    Attributes:
      size_bytes: Bytes received instead.
    """

    def __init__(self, size_bytes: int) -> None:
        self.size_bytes = size_bytes
        super().__init__(f"no final response in {size_bytes} bytes")


class Peer:
    """The connections to one address, which share its processing time.

    Attributes:
      is_paused: Whether nothing is read from it for the moment.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._allowance = pacing.Allowance()
        self.connections: set[ResponseHandler] = set()
        self.is_paused = False

    def record_work(self, elapsed_s: float, now: float) -> None:
        """Records time spent on its bytes; pauses it if it used its share.

        Args:
          elapsed_s: Time spent in seconds.
          now: Present time of the event loop in seconds.
        """
        pause_s = self._allowance.spend(elapsed_s, now)
        if not pause_s or self.is_paused:
            return
        self.is_paused = True
        for connection in self.connections:
            connection.pause_transport()
        self._loop.call_later(pause_s, self._resume)

    def _resume(self) -> None:
        self.is_paused = False
        for connection in list(self.connections):
            connection.resume_transport()


class Peers:
    """Peers by address; HTTP clients for the same peers share them."""

    def __init__(self) -> None:
        self._by_address: dict[object, Peer] = {}

    def add(self, address: object, connection: ResponseHandler) -> Peer:
        """Returns the peer that a new connection leads to."""
        peer = self._by_address.get(address)
        if peer is None:
            peer = Peer(asyncio.get_running_loop())
            self._by_address[address] = peer
        peer.connections.add(connection)
        return peer

    def remove(self, address: object, connection: ResponseHandler) -> None:
        """Forgets a connection, and peers that have used little time."""
        peer = self._by_address.get(address)
        if peer is None:
            return
        peer.connections.discard(connection)
        if not peer.connections and not peer.is_paused:
            del self._by_address[address]
        if len(self._by_address) > PEERS_MAX:
            self._drop_unused()

    def _drop_unused(self) -> None:
        for address, peer in list(self._by_address.items()):
            if not peer.connections and not peer.is_paused:
                del self._by_address[address]


class ResponseHandler(client_proto.ResponseHandler):
    """Connection that treats a reset as an incomplete response.

    The library would accept any end of the connection, also a reset, as the end
    of a body without a length. Bytes that no request waits for close the
    connection, as the next request would take them for its response. So does a
    response that is not within the grammar.

    Attributes:
      connected_at: When it was opened, in seconds.
      peer: Where it leads to; None before it is open.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, peers: Peers) -> None:
        super().__init__(loop)
        self._peers = peers
        self._address: object = None
        self._is_awaited = False
        self._informational_count = 0
        # Bytes received since the request.
        self._received_bytes = 0
        self._give_up_error: Exception | None = None
        # None before the first request.
        self._checker: response_syntax.ResponseChecker | None = None
        # Heads that the library has read since the request.
        self._read_heads = 0
        self.connected_at = 0.0
        self.peer: Peer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to read in blocks."""
        self.connected_at = clock.read_steady_s()
        super().connection_made(transport)
        self._address = transport.get_extra_info("peername")
        self.peer = self._peers.add(self._address, self)
        transport.set_protocol(BlockReader(self, _block))

    def set_response_params(
        self, *, skip_payload: bool = False, **options: Any
    ) -> None:
        """Records that a request waits for a response."""
        self._is_awaited = True
        self._informational_count = 0
        self._received_bytes = 0
        self._read_heads = 0
        self._checker = response_syntax.ResponseChecker(not skip_payload)
        super().set_response_params(skip_payload=skip_payload, **options)

    def data_received(self, data: bytes) -> None:
        """Parses a block, or what is left of one after a pause."""
        began_at = time.monotonic()
        self._received_bytes += len(data)
        if not self._is_sound(data):
            return
        super().data_received(data)
        self._close_if_exceeded()
        if self.peer is not None:
            now = time.monotonic()
            self.peer.record_work(now - began_at, now)
            if self.peer.is_paused:
                # This connection may have been opened during the pause.
                self.pause_transport()
        if self._is_awaited and self._received_bytes > INFORMATIONAL_MAX_BYTES:
            self._give_up()

    def _is_sound(self, data: bytes) -> bool:
        """Returns whether a block may be parsed; closes the connection if not.

        A block is empty if the library goes on with what it kept.
        """
        if self._checker is None:
            # No response precedes its request.
            self.force_close()
            self.close()
            return False
        try:
            self._checker.feed(data)
        except response_syntax.InvalidResponseError as error:
            self._end_invalid(error)
            return False
        return True

    def _close_if_exceeded(self) -> None:
        """Closes the connection if there are bytes that no request awaits."""
        if self._checker is None or not self._checker.is_exceeded:
            return
        self.force_close()
        # What the library has kept of the body is read after the end.
        if self._payload is None or self._payload.is_eof():
            self.close()

    def _end_invalid(self, error: response_syntax.InvalidResponseError) -> None:
        """Closes the connection, and ends a response that has begun."""
        payload = self._payload
        is_awaited = self._is_awaited
        self._is_awaited = False
        self.force_close()
        self.close()
        if is_awaited:
            self._give_up_error = http.HttpProcessingError(message=str(error))
            self.set_exception(self._give_up_error)
        elif payload is not None and not payload.is_eof():
            payload.set_exception(error)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Passes on a response head if it is awaited."""
        if self._give_up_error is not None:
            return
        if not self._is_awaited:
            self.force_close()
            self.close()
            return
        self._read_heads += 1
        assert self._checker is not None
        if self._read_heads > self._checker.head_count:
            self._end_invalid(
                response_syntax.InvalidResponseError("invalid end of a head")
            )
            return
        # Informational responses precede the one that is awaited.
        if data[0].code < _FIRST_FINAL_STATUS:
            self._informational_count += 1
            if self._informational_count > INFORMATIONAL_MAX:
                self._give_up()
                return
        else:
            self._is_awaited = False
        super().feed_data(data, size)

    def _give_up(self) -> None:
        """Closes the connection, as no final response begins."""
        self._is_awaited = False
        self._give_up_error = TooManyHeadsError(self._received_bytes)
        self.close()
        self.set_exception(self._give_up_error)

    def set_exception(
        self,
        exc: BaseException,
        exc_cause: BaseException = helpers._EXC_SENTINEL,  # noqa: SLF001
    ) -> None:
        """Sets the error that whoever waits for a response gets."""
        # What follows when the connection was given up is not the reason.
        super().set_exception(self._give_up_error or exc, exc_cause)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the response that was not complete."""
        self._peers.remove(self._address, self)
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(str(exc)))
        super().connection_lost(exc)

    def pause_transport(self) -> None:
        """Stops reading while the peer has used its share of time."""
        self._pause_transport_reading()

    def resume_transport(self) -> None:
        """Goes on reading, unless what was read is still to be used."""
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if self.peer is None or not self.peer.is_paused:
            super()._resume_transport_reading()


class BlockReader(asyncio.BufferedProtocol):
    """Passes what a connection reads to its handler, in small blocks."""

    def __init__(
        self, handler: base_protocol.BaseProtocol, block: bytearray
    ) -> None:
        """Creates a reader.

        Args:
          handler: Handles the bytes, and the other events of the connection.
          block: What is read at once; connections may share it, as it is copied
            at once.
        """
        self._handler: Any = handler
        self._block = block

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns where the next bytes are read to."""
        del sizehint
        return self._block

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read."""
        self._handler.data_received(bytes(memoryview(self._block)[:nbytes]))

    def eof_received(self) -> None:
        """Passes on that the peer sends nothing more."""
        self._handler.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes on that the connection was closed."""
        self._handler.connection_lost(exc)

    def pause_writing(self) -> None:
        """Passes on that the peer reads too slowly."""
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the peer has read enough."""
        self._handler.resume_writing()


_block = bytearray(BLOCK_BYTES)


def make_session(
    *,
    peers: Peers | None = None,
    keepalive_timeout_s: float | None = None,
    force_close: bool = False,
    skip_auto_headers: Sequence[str] = (),
    **options: Any,
) -> aiohttp.ClientSession:
    """Returns an HTTP client whose connections have the limits of this module.

    Args:
      peers: The peers, if another client has connections to them as well.
      keepalive_timeout_s: How long idle connections are kept; None for the
        library's default.
      force_close: Whether each request gets a connection of its own.
      skip_auto_headers: Headers that the library would add by itself.
      **options: Further options of `aiohttp.ClientSession`.
    """
    loop = asyncio.get_running_loop()
    shared_peers = Peers() if peers is None else peers
    connector_options: dict[str, Any] = {"force_close": force_close}
    if keepalive_timeout_s is not None:
        connector_options["keepalive_timeout"] = keepalive_timeout_s
    connector = aiohttp.TCPConnector(limit=0, **connector_options)
    # The library has no public way to set the connection class.
    connector._factory = lambda: ResponseHandler(loop, shared_peers)  # type: ignore[assignment]  # noqa: SLF001
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=BUFFER_BYTES,
        max_line_size=HEAD_MAX_BYTES,
        max_field_size=HEAD_MAX_BYTES,
        skip_auto_headers=skip_auto_headers,
        **options,
    )
