"""Limits on the bodies that a process holds at the same time."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import aiohttp
from aiohttp import base_protocol

from agatedock import body_buffers
from agatedock import errors
from agatedock.peers import relay
from agatedock.peers import snapshots
from agatedock_platform import store as store_client
from standins import endless
from test import platform_helper
from test import test_endless_bytes

BODY_BYTES = 1_000_000
PLAIN = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Agatedock-Attempt-Id: ID\r\n"
    b"X-Agatedock-Response-Seal: seal\r\n\r\n"
)
STREAM = PLAIN[:-2] + b"Content-Type: text/event-stream\r\n\r\n"


def make_content() -> aiohttp.StreamReader:
    """Returns a body without any bytes so far."""
    loop = asyncio.get_running_loop()
    protocol = base_protocol.BaseProtocol(loop)
    protocol.transport = mock.Mock()
    return aiohttp.StreamReader(protocol, 2**20, loop=loop)


class BodyBuffersTest(unittest.IsolatedAsyncioTestCase):
    """Bodies that are read beside one another."""

    def begin(
        self, buffers: body_buffers.BodyBuffers, size_bytes: int
    ) -> tuple[aiohttp.StreamReader, asyncio.Task[bytes], body_buffers.Buffer]:
        """Begins to read a body of which some bytes are there."""
        content = make_content()
        content.feed_data(b"x" * size_bytes)
        buffer = buffers.open()
        task = asyncio.create_task(
            body_buffers.read_buffered(content.readany, 1000, buffer)
        )
        return content, task, buffer

    async def test_largest_arriving_body_makes_room(self):
        buffers = body_buffers.BodyBuffers(1000)
        _, large, _ = self.begin(buffers, 700)
        await asyncio.sleep(0)
        small_content, small, buffer = self.begin(buffers, 400)
        small_content.feed_eof()
        self.assertEqual(await small, b"x" * 400)
        with self.assertRaises(body_buffers.BuffersFullError):
            await large
        self.assertEqual(buffers.held_bytes, 400)
        buffer.close()
        self.assertEqual(buffers.held_bytes, 0)

    async def test_complete_bodies_are_not_dropped(self):
        buffers = body_buffers.BodyBuffers(1000)
        content, large, _ = self.begin(buffers, 700)
        content.feed_eof()
        self.assertEqual(len(await large), 700)
        _, small, _ = self.begin(buffers, 400)
        with self.assertRaises(body_buffers.BuffersFullError):
            await small
        self.assertEqual(buffers.held_bytes, 700)

    async def test_bytes_of_a_body_that_is_given_up_are_not_counted(self):
        buffers = body_buffers.BodyBuffers(1000)
        _, task, _ = self.begin(buffers, 700)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(buffers.held_bytes, 0)

    async def test_body_that_makes_room_while_its_bytes_arrive(self):
        buffers = body_buffers.BodyBuffers(1000)
        large_content, large, _ = self.begin(buffers, 700)
        await asyncio.sleep(0)
        _, small, _ = self.begin(buffers, 400)
        large_content.feed_data(b"x" * 10)
        with self.assertRaises(body_buffers.BuffersFullError):
            await large
        self.assertEqual(buffers.held_bytes, 400)
        small.cancel()


class RequestTest(platform_helper.RouterCase):
    """Requests with large bodies at the same time."""

    async def test_bodies_of_many_requests_do_not_fill_memory(self):
        self.configure(
            Version=9,
            Limits={
                "MaxHeaderBytes": 4096,
                "MaxBodyBytes": BODY_BYTES,
                "HeaderTimeoutMs": 1000,
                "IdleTimeoutMs": 5000,
            },
        )
        await asyncio.sleep(1.2)
        bodies = self.router.core.frontend.bodies
        calls = [
            asyncio.create_task(
                self.call(
                    platform_helper.ORDER, f"r{number}", b"x" * BODY_BYTES
                )
            )
            for number in range(80)
        ]
        peak_bytes = 0
        small = []
        while not all(call.done() for call in calls):
            peak_bytes = max(peak_bytes, bodies.held_bytes)
            small.append(await self.call(platform_helper.CHAT, "small", b"{}"))
        answers = [call.result() for call in calls]
        self.assertLessEqual({answer[0] for answer in answers}, {200, 503})
        for status, headers, _ in answers:
            self.assertEqual(status == 503, "Retry-After" in headers)
        self.assertEqual({answer[0] for answer in small}, {200})
        self.assertLess(peak_bytes, 34_000_000)
        self.assertGreater(sum(answer[0] == 200 for answer in answers), 5)
        self.assertEqual(bodies.held_bytes, 0)


class ResponseTest(test_endless_bytes.EndlessCase):
    """Answers without end, many at the same time."""

    async def assert_bounded(self, path: str, head: bytes, filler: bytes):
        """Asserts that sound requests are served and that memory is bounded."""
        service = "shop" if path == platform_helper.LOOKUP else "llm"
        other = {"shop": "chat/2", "llm": "lookup/2"}[service]
        faulty = await self.add_faulty(service, head, filler=filler)
        buffers = self.router.core.shared.response_buffers
        calls = [
            asyncio.create_task(self.call(path, f"r{number}"))
            for number in range(40)
        ]
        peak_bytes = 0
        while not all(call.done() for call in calls):
            peak_bytes = max(peak_bytes, buffers.held_bytes)
            status, _, _ = await self.call(f"/{other}", "sound")
            self.assertEqual(status, 200)
        answers = await asyncio.gather(*calls, return_exceptions=True)
        self.assertTrue(faulty.sent)
        self.assertLess(peak_bytes, 34_000_000)
        self.assertEqual(buffers.held_bytes, 0)
        await self.wait_closed(faulty)
        return answers

    async def test_plain_bodies_without_end(self):
        answers = await self.assert_bounded(
            platform_helper.LOOKUP, PLAIN, b"x" * endless.SEND_BYTES
        )
        self.assertEqual({answer[0] for answer in answers}, {200})

    async def test_events_without_end_of_one_event(self):
        await self.assert_bounded(
            platform_helper.DRAFT, STREAM, b"x" * endless.SEND_BYTES
        )
        reasons = self.router.core.shared.early_closes.counts
        self.assertTrue(reasons)


class PeerTest(unittest.IsolatedAsyncioTestCase):
    """The store and a peer whose bodies have no end."""

    async def asyncSetUp(self) -> None:
        self.faulty = endless.EndlessReplica("faulty", "")
        self.faulty.head = b"HTTP/1.1 200 OK\r\n\r\n"
        await self.faulty.start()

    async def asyncTearDown(self) -> None:
        await self.faulty.stop()

    async def test_endless_body_of_the_store(self):
        store = store_client.StoreClient(self.faulty.address)
        with self.assertRaisesRegex(errors.Unavailable, "TooLarge"):
            await store.fetch_snapshot(1.0)
        await store.close()

    async def test_endless_body_of_a_peer(self):
        peer = relay.ListingClient()
        position = relay.ListingRequest(snapshots.EMPTY_POSITION, 0)
        with self.assertRaisesRegex(errors.Unavailable, "TooLarge"):
            await peer.fetch_delta(self.faulty.address, position)
        await peer.close()
