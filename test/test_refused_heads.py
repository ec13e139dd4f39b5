"""What clients get for heads that are refused, from a router process.

The process runs on the event loop of the product, unlike routers in a test.
"""

from __future__ import annotations

import asyncio

from test import crowd
from test import test_crowds


class RefusedHeadTest(crowd.CrowdCase):
    """Heads that are too long or take too long."""

    head_timeout_ms = 1000

    async def send(self, data: bytes) -> bytes:
        """Sends bytes; returns all that is answered."""
        host, _, port = self.frontend.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        try:
            async with asyncio.timeout(crowd.HANG_S):
                return await reader.read()
        finally:
            writer.close()

    async def check_refused(self, data: bytes, status: int) -> None:
        answer = await self.send(data)
        status_line = f"HTTP/1.1 {status} ".encode()
        self.assertTrue(answer.startswith(status_line), answer)
        self.assertIn(b"Connection: close\r\n", answer)
        self.assertEqual(self.replicas[1].received_requests[1:], [])

    async def test_head_of_many_lines(self):
        line = "X-Long: " + "a" * 1000 + "\r\n"
        await self.check_refused(test_crowds.format_head(lines=line * 40), 431)

    async def test_complete_head_over_the_limit(self):
        line = "X-Long: " + "a" * 1000 + "\r\n"
        lines = line * 40 + "Content-Length: 0\r\n\r\n"
        await self.check_refused(test_crowds.format_head(lines=lines), 431)

    async def test_head_that_takes_too_long(self):
        await self.check_refused(test_crowds.format_head(), 408)
