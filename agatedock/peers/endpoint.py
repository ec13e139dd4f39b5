"""Sends and receives UDP datagrams between routers.

A token bucket limits the bytes per second that a router sends to its peers.
"""

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

# IPv4 and UDP headers of a datagram.
PACKET_HEADER_BYTES = 28
# Bandwidth budget of one router, headers of IP and UDP included.
RATE_BYTES_PER_S = 6000.0
# Size of the token bucket, which allows bursts of requests.
BURST_MAX_BYTES = 6000.0
# Replies and due gossip are sent even if the budget is spent. The resulting
# debt is capped, because otherwise a router would send nothing after a burst
# for as long as the burst lasted.
DEBT_MAX_BYTES = 600.0


def measure(message: messages.Message) -> int:
    """Returns the bytes of a message in a packet."""
    return len(messages.encode(message)) + PACKET_HEADER_BYTES


class Handler(Protocol):
    """Handles messages of the types for which it is registered."""

    def handle_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Handles a message.

        Args:
          message: The message.
          address: Address of the sender.
        """


class Endpoint(asyncio.DatagramProtocol):
    """UDP socket for messages between routers.

    Attributes:
      handlers: Handlers by type of message.
      bytes_sent: Bytes sent so far, headers of IP and UDP included.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.handlers: dict[type, Handler] = {}
        self.bytes_sent = 0
        self._now = now
        self._budget_bytes = BURST_MAX_BYTES
        self._budget_updated_at = now()
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> int:
        """Binds the socket.

        Args:
          host: Address to bind to.
          port: Port to bind to; 0 for any free port.

        Returns:
          The bound port.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        return self._transport.get_extra_info("sockname")[1]

    def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Sends a message without waiting; it may be lost.

        The message is sent even if the bandwidth budget is spent.
        """
        data = messages.encode(message)
        if self._transport is not None:
            self._transport.sendto(data, address)
        self._refill_budget()
        size = len(data) + PACKET_HEADER_BYTES
        self._budget_bytes = max(-DEBT_MAX_BYTES, self._budget_bytes - size)
        self.bytes_sent += size

    def may_send(self, reserve_bytes: float = 0.0) -> bool:
        """Returns whether the bandwidth budget allows one more message.

        Args:
          reserve_bytes: Part of the budget to leave for messages of higher
            priority.
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
        """Decodes a datagram and calls the handler of its type."""
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
