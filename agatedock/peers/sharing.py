"""Tells peers what this router runs and reads, and learns the same of them.

Each message holds all running counts, so a lost one is made good by the next.
The bytes sent are bounded whatever the size of the fleet; with more peers each
of them hears less often.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from agatedock import logs
from agatedock.peers import messages
from agatedock.views import loads
from agatedock.views import prefixes

_log = logging.getLogger(__name__)

# Shortest time between two messages to one peer.
TICK_S = 0.02
# Longest time, with nothing to tell, in a fleet that can afford it.
HEARTBEAT_S = 0.5
# A peer that missed this many heartbeats is gone.
HEARTBEATS_MISSED = 6
# Bytes a second that one router may send, headers of IP and UDP included.
BYTES_PER_S = 6000.0
# Saved up in calm times for a burst of requests.
BYTES_SAVED_MAX = 6000.0
PACKET_HEADER_BYTES = 28
# Readings in one message, so that it fits into one packet.
READINGS_MAX = 60

Address = tuple[str, int]


class Sharing(asyncio.DatagramProtocol):
    """Exchange of news with all peers."""

    def __init__(
        self,
        name: str,
        zone: str,
        link_mbps: int,
        counts: loads.Loads,
        parts: prefixes.Prefixes,
        list_peers: Callable[[], dict[str, str]],
        now: Callable[[], float],
    ) -> None:
        self._name = name
        self._zone = zone
        self._link_mbps = link_mbps
        self._counts = counts
        self._parts = parts
        self._list_peers = list_peers
        self._now = now
        self._transport: asyncio.DatagramTransport | None = None
        self._pending: list[tuple[int, int]] = []
        self._number = int(now() * 1000)
        self._numbers: dict[str, int] = {}
        self._addresses: dict[str, Address] = {}
        self._latest: dict[str, messages.News] = {}
        self._told_changes = -1
        self._told_at = float("-inf")
        # Bytes that telling all peers took last.
        self._round_bytes = 0
        self._saved_bytes = BYTES_SAVED_MAX
        self._saved_at = now()
        self.bytes_sent = 0

    async def start(self, host: str, port: int) -> None:
        """Listens for peers."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def stop(self) -> None:
        """Stops listening."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Tells news until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            now = self._now()
            silence_s = HEARTBEATS_MISSED * self._heartbeat_s()
            for name in self._counts.drop_silent(now, silence_s):
                self._numbers.pop(name, None)
                self._addresses.pop(name, None)
                self._latest.pop(name, None)
                logs.event(_log, "peer_lost", logging.WARNING, peer=name)
            if self.is_due(now):
                self.tell(now)

    def take_reading(self, part: int, replica: int) -> None:
        """Adds a reading to the next message."""
        self._pending.append((part, replica))

    def is_due(self, now: float) -> bool:
        """Tells whether there is news, and bytes left to tell it."""
        self._saved_bytes = min(
            BYTES_SAVED_MAX,
            self._saved_bytes + BYTES_PER_S * (now - self._saved_at),
        )
        self._saved_at = now
        if now - self._told_at >= self._heartbeat_s():
            return True
        has_news = self._counts.changes != self._told_changes or self._pending
        return bool(has_news) and self._saved_bytes > 0

    def _heartbeat_s(self) -> float:
        """Returns the heartbeat's period, longer in a larger fleet."""
        return max(HEARTBEAT_S, self._round_bytes / BYTES_PER_S)

    def tell(self, now: float) -> None:
        """Sends one message to each peer."""
        readings = self._pending[:READINGS_MAX]
        self._pending = self._pending[READINGS_MAX:]
        self._number += 1
        data = messages.encode(
            messages.News(
                self._name,
                self._zone,
                self._link_mbps,
                self._number,
                self._counts.own(),
                readings,
            )
        )
        self._told_at = now
        self._told_changes = self._counts.changes
        addresses = self._find_addresses()
        for address in addresses:
            if self._transport is not None:
                self._transport.sendto(data, address)
        self._round_bytes = len(addresses) * (len(data) + PACKET_HEADER_BYTES)
        self._saved_bytes -= self._round_bytes
        self.bytes_sent += self._round_bytes

    def _find_addresses(self) -> set[Address]:
        """Returns peers that are listed, and those that were heard lately."""
        addresses = set(self._addresses.values())
        for text in self._list_peers().values():
            host, _, port = text.rpartition(":")
            if port.isdigit():
                addresses.add((host, int(port)))
        return addresses

    def list_alive(self) -> list[str]:
        """Returns the peers that were heard lately."""
        return list(self._latest)

    def list_links(self, zone: str) -> dict[str, int]:
        """Returns the link speeds of peers in a failure domain, by name."""
        return {
            name: news.link_mbps
            for name, news in self._latest.items()
            if news.zone == zone
        }

    def find_address(self, name: str) -> str | None:
        """Returns the `HOST:PORT` of a peer that was heard lately."""
        address = self._addresses.get(name)
        return f"{address[0]}:{address[1]}" if address else None

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Learns from a peer."""
        try:
            news = messages.decode(data)
        except messages.DecodeError as error:
            logs.event(
                _log, "datagram_unreadable", logging.WARNING, error=str(error)
            )
            return
        self.take(news, addr)

    def take(self, news: messages.News, address: Address) -> None:
        """Learns a message from an address."""
        if news.name == self._name:
            return
        known = self._numbers.get(news.name)
        if known is None:
            logs.event(_log, "peer_found", peer=news.name)
        elif news.number <= known:
            return
        now = self._now()
        self._numbers[news.name] = news.number
        self._addresses[news.name] = (address[0], address[1])
        self._latest[news.name] = news
        self._counts.take_peer(news.name, news.running, now)
        for part, replica in news.readings:
            self._parts.take(part, replica, now)
