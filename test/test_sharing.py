"""News between routers: what arrives, and what it costs."""

from __future__ import annotations

import collections
import unittest

from agatedock import hashing
from agatedock.peers import messages
from agatedock.peers import sharing
from agatedock.views import loads
from agatedock.views import prefixes


class Wire:
    """Collects datagrams instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, sharing.Address]] = []

    def sendto(self, data: bytes, address: sharing.Address) -> None:
        self.sent.append((data, address))


class Node:
    """One router's part, with a clock that the test moves."""

    def __init__(self, name: str, peers: int) -> None:
        self.now = 100.0
        self.counts = loads.Loads()
        self.parts = prefixes.Prefixes()
        self.wire = Wire()
        listed = {f"p{n}": f"10.0.0.{n}:7000" for n in range(peers)}
        self.sharing = sharing.Sharing(
            name,
            "a",
            1000,
            self.counts,
            self.parts,
            lambda: listed,
            lambda: self.now,
        )
        self.sharing._transport = self.wire  # noqa: SLF001


class SharingTest(unittest.TestCase):
    """Messages of one router."""

    def test_counts_and_readings_arrive(self):
        one, two = Node("one", 1), Node("two", 1)
        one.counts.begin("replica")
        one.sharing.take_reading(hashing.shorten("part"), 7)
        one.sharing.tell_due(one.now)
        ((data, _),) = one.wire.sent
        two.sharing.datagram_received(data, ("10.0.0.9", 7000))
        self.assertEqual(two.counts.running("replica"), 1)
        self.assertEqual(two.parts.list_readers("part", 0.0), [7])

    def test_older_message_says_nothing_new(self):
        one, two = Node("one", 1), Node("two", 1)
        one.counts.begin("replica")
        one.sharing.tell_due(one.now)
        one.counts.end("replica")
        one.now += sharing.TICK_S
        one.sharing.tell_due(one.now)
        for data, _ in reversed(one.wire.sent):
            two.sharing.datagram_received(data, ("10.0.0.9", 7000))
        self.assertEqual(two.counts.running("replica"), 0)

    def test_unreadable_datagram_is_logged_and_dropped(self):
        node = Node("one", 1)
        with self.assertLogs("agatedock.peers.sharing", "WARNING"):
            node.sharing.datagram_received(b"\xff\x00", ("10.0.0.9", 7000))

    def test_bytes_are_bounded_whatever_the_fleet(self):
        """10 s of a change each tick cost 6 KB/s and what was saved up."""
        for peers in (5, 60, 300):
            node = Node("one", peers)
            for step in range(500):
                node.now += sharing.TICK_S
                node.counts.begin(f"replica-{step % 10}")
                node.sharing.tell_due(node.now)
            largest = max(len(data) for data, _ in node.wire.sent) + 28
            allowed = 60_000 + sharing.BYTES_SAVED_MAX + largest
            self.assertLessEqual(node.sharing.bytes_sent, allowed)

    def test_no_burst_fills_a_slow_link(self):
        """60 peers: a few datagrams at once, and every peer in turn."""
        node = Node("one", 60)
        told = set()
        for step in range(100):
            node.now += sharing.TICK_S
            node.counts.begin(f"replica-{step % 10}")
            node.wire.sent.clear()
            node.sharing.tell_due(node.now)
            sent = sum(len(data) + 28 for data, _ in node.wire.sent)
            self.assertLess(sent, 1500)
            told |= {address for _, address in node.wire.sent}
        self.assertEqual(len(told), 60)

    def test_every_peer_gets_every_reading(self):
        node = Node("one", 30)
        got: dict[sharing.Address, set[int]] = collections.defaultdict(set)
        for step in range(600):
            node.now += sharing.TICK_S
            if step < 100:
                node.sharing.take_reading(step, 7)
            node.sharing.tell_due(node.now)
        for data, address in node.wire.sent:
            readings = messages.decode(data).readings
            got[address] |= {part for part, _ in readings}
        self.assertEqual([len(parts) for parts in got.values()], [100] * 30)

    def test_peer_is_told_though_the_store_lost_it(self):
        node = Node("one", 0)
        node.sharing.take(
            messages.News("two", "b", 10, 1, {}, []), ("10.0.0.2", 7000)
        )
        node.sharing.tell_due(node.now)
        self.assertEqual(
            [item[1] for item in node.wire.sent], [("10.0.0.2", 7000)]
        )
        self.assertEqual(messages.decode(node.wire.sent[0][0]).name, "one")
