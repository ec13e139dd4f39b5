"""Answers that begin before their request has arrived, and are cut short."""

from __future__ import annotations

import asyncio
import enum
import itertools
import socket
import struct

import aiohttp

from test import platform_helper

BODY_BYTES = 32 * 1024 * 1024
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
# Bytes of a body that a replica reads before it answers.
READS = (0, 1, 100_000)
# Times from the answer to the end of the connection.
PAUSES_S = (0.0, 0.05)
# Uploads that the kernel takes at once, in part, and hardly.
UPLOADS = (200_000, 3_000_000, 30_000_000)


class End(enum.Enum):
    """How a replica ends its connection."""

    # A reset, by a close that discards what is not sent either.
    RESET = enum.auto()
    # A close with unread bytes, which resets it once they are sent.
    CLOSE = enum.auto()
    # It sends nothing more in order, and closes a moment later.
    SHUTDOWN = enum.auto()


class EarlyReplica:
    """Answers an upload at once, and ends the connection while it arrives.

    Attributes:
      answer: What it sends.
      read_bytes: Bytes of the upload that it reads before.
      end: How it ends the connection.
      pause_s: Time before that.
      count: Requests so far.
    """

    def __init__(self) -> None:
        self.answer = b""
        self.read_bytes = 0
        self.end = End.RESET
        self.pause_s = 0.0
        self.count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        await reader.readuntil(b"\r\n\r\n")
        self.count += 1
        if self.read_bytes:
            await reader.readexactly(self.read_bytes)
        # Nothing more is taken out of the kernel.
        writer.transport.pause_reading()
        writer.write(self.answer)
        await asyncio.sleep(self.pause_s)
        sock = writer.get_extra_info("socket")
        if self.end is End.RESET:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif self.end is End.SHUTDOWN:
            writer.write_eof()
            await asyncio.sleep(0.1)
        writer.transport.abort()


class EarlyAnswerTest(platform_helper.RouterCase):
    """What a client with a long upload gets."""

    bounds = {"slack": 100_000}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = platform_helper.make_configuration()["Limits"]
        limits["MaxBodyBytes"] = BODY_BYTES
        self.configure(Version=8, Limits=limits)
        self.early = EarlyReplica()
        self.server = await asyncio.start_server(
            self.early.serve, "127.0.0.1", 0, limit=2**16
        )
        self.addCleanup(self.server.close)
        host, port = self.server.sockets[0].getsockname()
        for name, item in self.replicas.items():
            item.address = f"{host}:{port}"
            self.register(name)
        directory = self.router.core.shared.directory
        async with asyncio.timeout(5):
            while (
                any(
                    replica.address != f"{host}:{port}"
                    for replica in directory.list_all()
                )
                or self.router.core.shared.configuration_view.version < 8
            ):
                await asyncio.sleep(0.02)

    async def call_complete(self, path: str, upload_bytes: int) -> bool:
        """Returns whether a client gets a complete success."""
        count = self.early.count
        try:
            status, _, _ = await self.call(path, body=b"x" * upload_bytes)
        except aiohttp.ClientError:
            status = 0
        self.assertGreater(self.early.count, count)
        return status == 200

    async def check(self, path: str, content_type: str, body: bytes) -> None:
        """Asserts that no client takes a part of an answer for the whole."""
        self.early.answer = (
            "HTTP/1.1 200 OK\r\n"
            "X-Agatedock-Attempt-Id: r1\r\n"
            "X-Agatedock-Response-Seal: seal\r\n"
            f"Content-Type: {content_type}\r\n\r\n"
        ).encode() + body
        for case in itertools.product(End, READS, PAUSES_S, UPLOADS):
            end, read_bytes, pause_s, upload_bytes = case
            if end is End.SHUTDOWN and upload_bytes < UPLOADS[-1]:
                # The request has been written when the answer ends.
                continue
            self.early.end = end
            self.early.read_bytes = read_bytes
            self.early.pause_s = pause_s
            with self.subTest(case=case):
                is_complete = await self.call_complete(path, upload_bytes)
                self.assertFalse(is_complete)

    async def test_plain_answer_to_a_request_that_runs_once(self):
        await self.check(platform_helper.ORDER, "text/plain", b"half")

    async def test_stream(self):
        await self.check(platform_helper.DRAFT, "text/event-stream", EVENTS)

    async def test_stream_that_is_resumed(self):
        await self.check(platform_helper.CHAT, "text/event-stream", EVENTS)
