"""Streams that broke off, and answers without a length."""

from __future__ import annotations

import unittest

import aiohttp

from agatedock.serving import sse
from standins import faults
from test import platform_helper

COMPLETE_STREAM = b"".join(
    f"id: {number}\ndata: x\n\n".encode() for number in range(1, 6)
)
BROKEN_AFTER = 2
BROKEN_STREAM = COMPLETE_STREAM[: BROKEN_AFTER * len(b"id: 1\ndata: x\n\n")]


class ResumedStreamTest(platform_helper.RouterCase):
    """What a client gets if the rest of its stream is answered oddly."""

    bounds = {"slack": 10_000}

    async def read_chat(self, request_id: str) -> tuple[bytes, bool]:
        """Returns the body of a chat, and whether it was complete."""
        headers = self.make_headers(request_id)
        headers["X-Agatedock-Prompt-Prefix"] = "aa:10,bb:100,cc:5"
        url = self.url + platform_helper.CHAT
        body = b""
        try:
            async with self.session.post(url, headers=headers) as response:
                self.assertEqual(response.status, 200)
                async for chunk in response.content.iter_any():
                    body += chunk
        except aiohttp.ClientError:
            return body, False
        return body, True

    async def test_odd_answer_never_reaches_the_middle_of_a_stream(self):
        for kind in faults.RESUMED_RESPONSES:
            with self.subTest(kind):
                for item in self.replicas.values():
                    item.faults.cut_after = BROKEN_AFTER
                    item.faults.resumed = kind
                body, is_complete = await self.read_chat(kind)
                self.assertFalse(is_complete)
                self.assertEqual(body, BROKEN_STREAM)

    async def test_stream_is_resumed_after_an_odd_answer(self):
        """A further attempt at the first replica goes on with the stream."""
        for kind in faults.RESUMED_RESPONSES:
            with self.subTest(kind):
                for item in self.replicas.values():
                    item.faults.resumed = ""
                    item.faults.cut_after = BROKEN_AFTER
                    item.received_requests.clear()
                first = self.replicas["llm-1"]
                self.replicas["llm-2"].faults.resumed = kind
                self.replicas["llm-2"].faults.cut_after = None
                first.faults.cut_after = BROKEN_AFTER
                body, is_complete = await self.read_chat(f"{kind} resumed")
                if is_complete:
                    self.assertEqual(body, COMPLETE_STREAM)
                else:
                    self.assertTrue(COMPLETE_STREAM.startswith(body))


class UnframedTest(platform_helper.RouterCase):
    """Answers with neither a length nor chunks."""

    def set_faults(self, **faults) -> None:
        """Sets faults at all replicas."""
        for item in self.replicas.values():
            for name, value in faults.items():
                setattr(item.faults, name, value)

    async def test_answer_that_ends_with_its_connection_is_whole(self):
        self.set_faults(unframed_end=True)
        for path in (platform_helper.LOOKUP, platform_helper.ORDER):
            status, _, body = await self.call(path, path)
            self.assertEqual(status, 200)
            self.assertTrue(body.startswith(b"run by shop-"))
        for path in (platform_helper.CHAT, platform_helper.DRAFT):
            status, _, body = await self.call(path, path)
            self.assertEqual((status, body), (200, COMPLETE_STREAM))

    async def test_answer_that_is_reset_is_not_whole(self):
        self.set_faults(unframed=True)
        for path in (platform_helper.LOOKUP, platform_helper.ORDER):
            status, _, _ = await self.call(path, path)
            self.assertEqual(status, 502)


class SplitterTest(unittest.TestCase):
    """Ids of a resumed stream."""

    def test_id_that_does_not_grow_is_rejected(self):
        for event_id in (b"1", b"7"):
            splitter = sse.SseSplitter("7", increasing_ids=True)
            with self.assertRaises(sse.InvalidStreamError):
                splitter.feed(b"id: " + event_id + b"\ndata: x\n\n")

    def test_ids_that_are_no_numbers_are_not_compared(self):
        splitter = sse.SseSplitter("b", increasing_ids=True)
        batch = splitter.feed(b"id: a\ndata: x\n\nid: 1\ndata: y\n\n")
        self.assertEqual(batch.last_id, "1")

    def test_empty_lines_are_held_until_an_event_follows(self):
        splitter = sse.SseSplitter()
        self.assertEqual(splitter.feed(b"\n\n\n").data, b"")
        batch = splitter.feed(b"\ndata: x\n\n")
        self.assertEqual(batch.data, b"\n\n\n\ndata: x\n\n")
        self.assertEqual(splitter.feed(b"\n\n").data, b"")
        self.assertTrue(splitter.at_event_boundary)
        self.assertEqual(splitter.take_empty_lines(), b"\n\n")

    def test_empty_lines_without_end_are_cut(self):
        splitter = sse.SseSplitter()
        with self.assertRaises(sse.InvalidStreamError):
            for _ in range(2 * sse.EVENT_MAX_BYTES // 10_000):
                splitter.feed(b"\n" * 10_000)
