"""Connections of clients: closing, limits, forged headers, bugs of our own."""

from __future__ import annotations

import asyncio

from test import platform_helper


def format_request(request_id: str) -> bytes:
    """Returns a lookup as bytes."""
    return (
        f"GET {platform_helper.LOOKUP} HTTP/1.1\r\n"
        f"Host: {platform_helper.HOST}\r\n"
        f"X-Agatedock-Attempt-Id: {request_id}\r\n"
        f"Authorization: Bearer {platform_helper.KEY}\r\n\r\n"
    ).encode()


class StoppingTest(platform_helper.RouterCase):
    """A router that got SIGTERM."""

    async def connect(self):
        """Opens a connection of a client."""
        host, port = self.config.listen.frontend.split(":")
        return await asyncio.open_connection(host, int(port))

    async def read_status(self, reader) -> int:
        """Returns the status of the next answer."""
        line = await asyncio.wait_for(reader.readline(), 2)
        return int(line.split()[1])

    async def test_request_on_a_connection_that_was_just_opened(self):
        """It is answered although idle connections are being closed."""
        statuses = []
        self.stop.set()
        await self.wait_ready(False)
        for number in range(10):
            reader, writer = await self.connect()
            # The accepting side runs, but does not wait for a request yet.
            self.router.frontend.close_idle()
            await asyncio.sleep(0)
            self.router.frontend.close_idle()
            writer.write(format_request(f"late-{number}"))
            statuses.append(await self.read_status(reader))
            writer.close()
        self.assertEqual(statuses, [200] * 10)

    async def test_idle_connection_is_closed(self):
        reader, writer = await self.connect()
        writer.write(format_request("first"))
        self.assertEqual(await self.read_status(reader), 200)
        await asyncio.sleep(0.05)
        self.router.frontend.close_idle()
        await asyncio.wait_for(reader.read(), 2)
        self.assertTrue(reader.at_eof())
        writer.close()

    async def test_request_that_was_just_read(self):
        """It is answered although its connection counted as idle before."""
        reader, writer = await self.connect()
        writer.write(format_request("first"))
        self.assertEqual(await self.read_status(reader), 200)
        await asyncio.sleep(0.05)
        (connection,) = self.router.frontend.list_idle()
        connection.data_received(format_request("second"))
        self.router.frontend.close_idle()
        rest = await asyncio.wait_for(reader.readuntil(b"HTTP/1.1 "), 2)
        self.assertIn(b"run by", rest)
        self.assertEqual(await reader.readexactly(3), b"200")
        writer.close()

    async def test_late_request_is_refused_as_not_run(self):
        # A client that has not sent anything keeps the process running.
        _, writer = await self.connect()
        self.addCleanup(writer.close)
        self.stop.set()
        await asyncio.sleep(3.0)
        status, headers, _ = await self.call(platform_helper.ORDER)
        self.assertEqual(status, 503)
        self.assertEqual(headers["Connection"], "close")
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.list_runs(), [])
