"""Who has to make room when clients make a process hold too much."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

from agatedock.decisions import client_limits
from test import platform_helper
from test import test_crowds

NOW = 100.0
MIB = 1024 * 1024
PHASE = client_limits.Phase


@dataclasses.dataclass
class Client:
    """A connection, or a body that is arriving."""

    name: str
    progress_at: float = NOW
    size_bytes: int = 0
    phase: client_limits.Phase = PHASE.ARRIVING


class LimitsTest(unittest.TestCase):
    """What a VM allows."""

    def test_usual_vms_hold_as_many_bodies_as_without_a_limit(self):
        for memory_mb in (200, 300, 552):
            limits = client_limits.compute_limits(memory_mb * 10**6, 4100)
            self.assertEqual(limits.bodies_bytes, 32 * MIB)
            self.assertEqual(limits.connections, 2050)

    def test_small_vm_has_room_for_two_large_bodies(self):
        limits = client_limits.compute_limits(64 * 10**6, 64)
        self.assertEqual(limits.bodies_bytes, 8 * MIB)
        self.assertEqual(limits.connections, 32)

    def test_unknown_vm_has_the_defaults(self):
        self.assertEqual(
            client_limits.compute_limits(0, 0), client_limits.ClientLimits()
        )

    def test_other_listeners_get_a_small_part(self):
        limits = client_limits.compute_listener_limits(300 * 10**6, 4100)
        self.assertEqual(limits.connections, 256)
        self.assertEqual(limits.bodies_bytes, 8 * MIB)
        small = client_limits.compute_listener_limits(64 * 10**6, 64)
        self.assertEqual(small.connections, 8)
        self.assertEqual(small.requests_bytes, MIB)
        unknown = client_limits.compute_listener_limits(0, 0)
        self.assertEqual(unknown.connections, 1000)

    def test_usual_vms_serve_hundreds_of_requests_at_once(self):
        request_bytes = client_limits.REQUEST_BYTES
        request_bytes += client_limits.estimate_head_bytes(700, 15)
        for memory_mb in (200, 300, 552):
            limits = client_limits.compute_limits(memory_mb * 10**6, 4100)
            self.assertGreater(limits.requests_bytes, 700 * request_bytes)

    def test_pieces_of_one_byte_are_no_overhead(self):
        self.assertFalse(client_limits.exceeds_overhead(6 * MIB, MIB))
        self.assertTrue(client_limits.exceeds_overhead(100 * 1024, 10))


class RoomTest(unittest.TestCase):
    """Who is dropped or closed."""

    def drop(self, *clients: Client) -> str | None:
        dropped = client_limits.choose_dropped(clients, NOW)
        return None if dropped is None else dropped.name

    def test_stalled_body_makes_room_before_a_larger_one(self):
        stalled = Client("stalled", NOW - 2, 3000)
        self.assertEqual(
            self.drop(Client("large", NOW, 4000), stalled), "stalled"
        )

    def test_largest_makes_room_if_none_is_stalled(self):
        clients = [Client("large", NOW, 4000), Client("small", NOW, 300)]
        self.assertEqual(self.drop(*clients), "large")

    def test_small_body_is_spared_while_the_process_is_busy(self):
        """All seem stalled then."""
        clients = [Client(f"large {n}", NOW - 2, 4000) for n in range(9)]
        small = Client("small", NOW - 5, 8)
        self.assertNotEqual(self.drop(small, *clients), "small")

    def test_nobody_is_dropped_for_nothing(self):
        self.assertIsNone(self.drop())
        self.assertIsNone(self.drop(Client("empty")))

    def close(self, *clients: Client) -> str | None:
        closed = client_limits.choose_connection(clients)
        return None if closed is None else closed.name

    def test_connection_that_waits_longest_is_closed(self):
        self.assertEqual(
            self.close(
                Client("served", NOW - 9, phase=PHASE.SERVED),
                Client("idle", NOW - 8, phase=PHASE.IDLE),
                Client("new", NOW),
                Client("slow", NOW - 3),
            ),
            "slow",
        )

    def test_idle_connection_is_closed_before_a_served_one(self):
        served = Client("served", NOW - 9, phase=PHASE.SERVED)
        idle = Client("idle", NOW, phase=PHASE.IDLE)
        self.assertEqual(self.close(served, idle), "idle")
        self.assertIsNone(self.close(served))


class TimerTest(platform_helper.RouterCase):
    """Requests that take longer than a head may."""

    async def test_body_that_arrives_before_its_handler_begins(self):
        """Guards against a request cut at the timeout of a head (LOST)."""
        self.replicas["shop-1"].work_s = self.replicas["shop-2"].work_s = 1.5
        host, _, port = self.config.listen.frontend.rpartition(":")
        known = set(self.router.core.frontend.clients.list_open())
        reader, writer = await asyncio.open_connection(host, int(port))
        while not (
            opened := set(self.router.core.frontend.clients.list_open()) - known
        ):
            await asyncio.sleep(0.01)
        (connection,) = opened
        lines = "X-Agatedock-Attempt-Id: r\r\nContent-Length: 3\r\n\r\n"
        connection.data_received(test_crowds.format_head(lines=lines))
        # The library has taken the request, but its task has not begun.
        await asyncio.sleep(0)
        connection.data_received(b"abc")
        async with asyncio.timeout(5):
            answer = await reader.readuntil(b"\r\n")
        writer.close()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)


class RefusalTest(platform_helper.RouterCase):
    """Bodies that go on after their request was refused."""

    async def test_no_second_response_follows_a_refusal(self):
        """Not even if the body takes longer than a head may."""
        host, _, port = self.config.listen.frontend.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        length = "Content-Length: 9000\r\n\r\n"
        writer.write(test_crowds.format_head("/nowhere/1", length))
        for _ in range(30):
            writer.write(b"x" * 100)
            await asyncio.sleep(0.05)
        writer.transport.write_eof()
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)
        self.assertTrue(answer.startswith(b"HTTP/1.1 404"), answer)
        self.assertIn(b"Connection: close", answer)

    async def test_long_head_gets_431_and_runs_nothing(self):
        host, _, port = self.config.listen.frontend.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = "".join(f"X-{n}: {'a' * 200}\r\n" for n in range(60))
        writer.write(test_crowds.format_head(lines=lines))
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        self.assertTrue(answer.startswith(b"HTTP/1.1 431"), answer)
        self.assertEqual(self.list_runs(), [])
        counts = self.router.core.frontend.clients.counts
        self.assertEqual(dict(counts), {"head_too_large": 1})
