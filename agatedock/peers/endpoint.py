"""Sends and receives datagrams of peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import Protocol

from agatedock import addresses
from agatedock import errors
from agatedock import logs
from agatedock.peers import messages

_log = logging.getLogger(__name__)

PACKET_HEADER_BYTES = 28
# Bytes a second that one router should send, headers of IP and UDP included.
RATE_BYTES_PER_S = 6000.0
# Saved up in calm times for a burst of requests.
BURST_MAX_BYTES = 6000.0
# Answers and due rows are sent whatever was saved. More than this is not paid
# back: else a router would fall silent after a burst, for as long as it was.
DEBT_MAX_BYTES = 600.0


class Handler(Protocol):
    """Part that takes messages."""

    def handle_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Learns a message that came from an address."""


class Endpoint(asyncio.DatagramProtocol):
    """The socket for peers.

    Attributes:
      handlers: Parts that take messages, by their type.
      bytes_sent: Headers of IP and UDP included.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.handlers: dict[type, Handler] = {}
        self.bytes_sent = 0
        self._now = now
        self._budget_bytes = BURST_MAX_BYTES
        self._budget_updated_at = now()
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens for peers; returns the port."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        return self._transport.get_extra_info("sockname")[1]

    def stop(self) -> None:
        """Stops listening."""
        if self._transport is not None:
            self._transport.close()

    def send(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Sends a message; it may be lost."""
        data = messages.encode(message)
        if self._transport is not None:
            self._transport.sendto(data, address)
        self._refill_budget()
        size = len(data) + PACKET_HEADER_BYTES
        self._budget_bytes = max(-DEBT_MAX_BYTES, self._budget_bytes - size)
        self.bytes_sent += size

    def may_send(self, reserve_bytes: float = 0.0) -> bool:
        """Tells whether bytes for one more message are left.

        Args:
          reserve_bytes: What is to be left for messages that matter more.
        """
        self._refill_budget()
        return self._budget_bytes > reserve_bytes

    def _refill_budget(self) -> None:
        now = self._now()
        refilled_bytes = RATE_BYTES_PER_S * (now - self._budget_updated_at)
        self._budget_bytes = min(
            BURST_MAX_BYTES, self._budget_bytes + refilled_bytes
        )
        self._budget_updated_at = now

    def datagram_received(self, data: bytes, addr: addresses.Address) -> None:
        """Hands a message to the part that takes it."""
        try:
            message = messages.decode(data)
        except errors.DecodeError as error:
            logs.event(
                _log, "datagram_unreadable", logging.WARNING, error=str(error)
            )
            return
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler.handle_message(message, (addr[0], addr[1]))
