"""Requests inside the limits that look like those of a crowd."""

from __future__ import annotations

import asyncio

from test import platform_helper
from test import test_crowds


class OddRequestTest(platform_helper.RouterCase):
    """Each of them is answered."""

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.config.listen.frontend.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def read_status(self, reader: asyncio.StreamReader) -> int:
        """Reads one response; returns its status."""
        async with asyncio.timeout(5):
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2]
            await reader.readexactly(int(length.partition(b"\r\n")[0]))
        return int(head.split()[1])

    async def send_body(self, lines: str, *blocks: bytes) -> int:
        """Sends a body in some blocks; returns the status of the answer."""
        reader, writer = await self.connect()
        writer.write(test_crowds.format_head(lines=lines + "\r\n"))
        for block in blocks:
            await asyncio.sleep(0.1)
            writer.write(block)
        return await self.read_status(reader)

    async def test_data_that_looks_like_the_end_of_a_body(self):
        data = b"\r\n0\r\n" * 1900
        size = f"Content-Length: {len(data) + 1}\r\n"
        self.assertEqual(await self.send_body(size, b"x", data), 200)
        chunked = "Transfer-Encoding: chunked\r\n"
        chunk = b"%x\r\n%s\r\n" % (len(data), data)
        status = await self.send_body(
            chunked, b"1\r\nx\r\n", chunk, b"0\r\n\r\n"
        )
        self.assertEqual(status, 200)
        runs = self.list_runs()
        self.assertEqual([run.body for run in runs], [b"x" + data] * 2)

    async def test_many_requests_at_once_and_a_part_of_another(self):
        reader, writer = await self.connect()
        lines = "X-Field: " + "v" * 200 + "\r\n"
        request = test_crowds.format_head(lines=lines)
        request += b"Content-Length: 0\r\n\r\n"
        count = 30
        writer.write(request * count + request[:100])
        for _ in range(count):
            self.assertEqual(await self.read_status(reader), 200)
        writer.write(request[100:])
        self.assertEqual(await self.read_status(reader), 200)
