"""Replicas whose bytes without end take long to process."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from agatedock import connections
from agatedock import errors
from agatedock.decisions import pacing
from agatedock.serving import early_closes
from agatedock.serving import loop_monitor
from agatedock_platform import store as store_client
from standins import endless
from test import platform_helper
from test import test_body_buffers
from test import test_endless_bytes

INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
CHUNKED_STREAM = (
    test_body_buffers.STREAM[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
)
CHUNKED_PLAIN = (
    test_body_buffers.PLAIN[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
)


def fill(unit: bytes) -> bytes:
    """Returns many repetitions of some bytes."""
    return unit * (endless.SEND_BYTES // len(unit))


class FloodTest(test_endless_bytes.EndlessCase):
    """What sound requests notice of bytes that take long to process."""

    async def assert_sound_served(
        self, path: str, head: bytes, unit: bytes, calls: int = 8
    ) -> endless.EndlessReplica:
        """Asserts that requests of another service are served in time."""
        service = "llm" if path == platform_helper.DRAFT else "shop"
        sound = {
            "llm": platform_helper.LOOKUP,
            "shop": platform_helper.CHAT,
        }[service]
        faulty = await self.add_faulty(service, head, filler=fill(unit))
        tasks = [
            asyncio.create_task(self.call(path, f"r{number}"))
            for number in range(4 * calls)
        ]
        end_at = time.monotonic() + 2.5
        longest_s = 0.0
        while time.monotonic() < end_at:
            began_at = time.monotonic()
            status, _, _ = await self.call(sound, "sound")
            self.assertEqual(status, 200)
            longest_s = max(longest_s, time.monotonic() - began_at)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertTrue(faulty.sent)
        self.assertLess(longest_s, 2.0)
        return faulty

    async def test_interim_heads(self):
        await self.assert_sound_served(platform_helper.LOOKUP, b"", INTERIM)

    async def test_empty_lines_of_a_stream(self):
        await self.assert_sound_served(
            platform_helper.DRAFT, test_body_buffers.STREAM, b"\n"
        )

    async def test_short_events_of_a_stream(self):
        await self.assert_sound_served(
            platform_helper.DRAFT, test_body_buffers.STREAM, b"data: x\n\n"
        )

    async def test_chunks_of_one_byte_of_a_stream(self):
        await self.assert_sound_served(
            platform_helper.DRAFT, CHUNKED_STREAM, b"1\r\nx\r\n"
        )

    async def test_chunks_of_one_byte_of_a_plain_answer(self):
        await self.assert_sound_served(
            platform_helper.LOOKUP, CHUNKED_PLAIN, b"1\r\nx\r\n"
        )


class EmptyLinesTest(test_endless_bytes.EndlessCase):
    """Streams of empty lines that are resumed at a sound replica."""

    async def test_empty_lines_of_a_faulty_replica_do_not_reach_clients(self):
        faulty = await self.add_faulty(
            "llm", test_body_buffers.STREAM, filler=fill(b"\n")
        )
        answers = await asyncio.gather(
            *(
                self.call(platform_helper.CHAT, f"r{number}")
                for number in range(24)
            )
        )
        self.assertTrue(faulty.sent)
        bodies = {body for status, _, body in answers if status == 200}
        self.assertEqual(len(bodies), 1)


class InterimTest(test_endless_bytes.EndlessCase):
    """Responses that do not begin after their interim heads."""

    async def test_interim_heads_without_end_are_cut(self):
        faulty = await self.add_faulty("shop", b"", filler=fill(INTERIM))
        status, took_s = await self.call_until_reached(
            faulty, platform_helper.LOOKUP
        )
        self.assertEqual(status, 200)
        self.assertLess(took_s, 1.0)
        await self.wait_closed(faulty)
        counts = self.router.core.shared.early_closes.counts
        self.assertEqual(counts[early_closes.Reason.NO_FINAL_HEAD], 1)

    async def test_replica_that_sends_only_interim_heads_gets_few_requests(
        self,
    ):
        faulty = await self.add_faulty("shop", b"", filler=fill(INTERIM))
        for number in range(60):
            status, _, _ = await self.call(platform_helper.LOOKUP, f"r{number}")
            self.assertEqual(status, 200)
        self.assertTrue(faulty.sent)
        self.assertLess(len(faulty.sent), 10)

    async def test_slow_interim_heads_end_with_the_time_of_the_head(self):
        faulty = await self.add_faulty(
            "shop", b"", filler=INTERIM, interval_s=0.02
        )
        status, took_s = await self.call_until_reached(
            faulty, platform_helper.LOOKUP
        )
        self.assertEqual(status, 200)
        self.assertLess(took_s, 2.0)

    async def test_head_after_some_interim_heads_is_forwarded(self):
        faulty = await self.add_faulty(
            "shop",
            INTERIM * connections.INFORMATIONAL_MAX
            + test_body_buffers.PLAIN[:-2]
            + b"Content-Length: 2\r\n\r\nok",
            filler=b"",
        )
        status, _ = await self.call_until_reached(
            faulty, platform_helper.LOOKUP
        )
        self.assertEqual(status, 200)
        self.assertFalse(self.router.core.shared.early_closes.counts)

    async def assert_no_evidence(self, unit: bytes) -> None:
        """Asserts that no part is suspected for heads that the router cuts."""
        faulty = await self.add_faulty("llm", b"", filler=fill(unit))
        await asyncio.gather(
            *(
                self.call(platform_helper.CHAT, f"r{number}")
                for number in range(24)
            ),
            return_exceptions=True,
        )
        self.assertTrue(faulty.sent)
        evidence = self.router.core.shared.crash_evidence
        self.assertFalse(evidence.list_parts())

    async def test_interim_heads_are_no_evidence_of_a_crash(self):
        await self.assert_no_evidence(INTERIM)

    async def test_invalid_head_is_no_evidence_of_a_crash(self):
        await self.assert_no_evidence(b"garbage ")

    async def test_endless_head_is_no_evidence_of_a_crash(self):
        faulty = b"HTTP/1.1 200 OK\r\nname: " + b"a" * (2**16 - 30)
        await self.assert_no_evidence(faulty)

    async def test_interim_heads_of_the_store(self):
        faulty = endless.EndlessReplica("store", "")
        faulty.filler = fill(INTERIM)
        await faulty.start()
        store = store_client.StoreClient(faulty.address)
        with self.assertRaisesRegex(errors.Unavailable, "TooManyHeads"):
            await store.fetch_snapshot(1.0)
        await store.close()
        await faulty.stop()


class PacingTest(unittest.TestCase):
    """The time that one peer may use."""

    def test_share_of_a_peer_that_never_rests(self):
        allowance = pacing.Allowance()
        now = 0.0
        used_s = 0.0
        while now < 10.0:
            now += 0.002
            used_s += 0.002
            now += allowance.spend(0.002, now)
        self.assertLess(used_s, 10.0 * pacing.SHARE + pacing.CAPACITY_S)
        self.assertGreater(used_s, 4.0)

    def test_peer_with_little_work_is_never_paused(self):
        allowance = pacing.Allowance()
        pauses = [
            allowance.spend(0.0002, number / 1000) for number in range(5000)
        ]
        self.assertEqual(set(pauses), {0.0})

    def test_long_measurement_causes_a_short_pause(self):
        pause_s = pacing.Allowance().spend(3.0, 0.0)
        self.assertGreater(pause_s, 0.0)
        self.assertLess(pause_s, 0.05)


class PeerTest(unittest.IsolatedAsyncioTestCase):
    """Connections to one peer that share its time."""

    def make_connection(self, peers: connections.Peers) -> mock.Mock:
        """Returns the transport of a new connection."""
        handler = connections.ResponseHandler(asyncio.get_running_loop(), peers)
        transport = mock.Mock()
        extra = {"peername": ("127.0.0.1", 1)}
        transport.get_extra_info.side_effect = extra.get
        handler.connection_made(transport)
        self.handlers.append(handler)
        return transport

    async def test_all_connections_pause_and_go_on(self):
        self.handlers: list[connections.ResponseHandler] = []
        peers = connections.Peers()
        transports = [self.make_connection(peers) for _ in range(3)]
        peer = self.handlers[0].peer
        peer.record_work(0.02, time.monotonic())
        for transport in transports:
            transport.pause_reading.assert_called_once()
        # Flow control of the library may not end the pause.
        self.handlers[1]._resume_transport_reading()  # noqa: SLF001
        transports[1].resume_reading.assert_not_called()
        await asyncio.sleep(0.1)
        for transport in transports:
            transport.resume_reading.assert_called()

    async def test_connection_that_is_opened_in_a_pause_is_paused(self):
        self.handlers = []
        peers = connections.Peers()
        self.make_connection(peers)
        self.handlers[0].peer.record_work(0.02, time.monotonic())
        transport = self.make_connection(peers)
        transport.pause_reading.assert_not_called()
        self.handlers[1].set_response_params()
        self.handlers[1].data_received(INTERIM)
        transport.pause_reading.assert_called()

    async def test_pause_outlasts_the_connections(self):
        self.handlers = []
        peers = connections.Peers()
        self.make_connection(peers)
        paused = self.handlers[0].peer
        paused.record_work(0.02, time.monotonic())
        self.handlers[0].connection_lost(None)
        self.make_connection(peers)
        self.assertIs(self.handlers[1].peer, paused)

    async def test_bytes_are_read_in_small_blocks(self):
        self.handlers = []
        transport = self.make_connection(connections.Peers())
        (reader,) = transport.set_protocol.call_args.args
        self.assertLessEqual(len(reader.get_buffer(-1)), 16 * 1024)


class LoopMonitorTest(unittest.TestCase):
    """The lag of the event loop."""

    def test_long_lag_is_logged(self):
        monitor = loop_monitor.LoopMonitor()
        with self.assertLogs("agatedock.serving.loop_monitor") as logged:
            monitor.record(0.01)
            monitor.record(0.3)
        self.assertEqual(len(logged.records), 1)
        self.assertEqual(monitor.take_longest_s(), 0.3)
        self.assertEqual(monitor.take_longest_s(), 0.0)
