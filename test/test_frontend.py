"""Client connections: draining, idle connections and slow clients."""

from __future__ import annotations

import asyncio

from agatedock import errors
from test import platform_helper


def format_request(request_id: str) -> bytes:
    """Returns a lookup request as bytes."""
    return (
        f"GET {platform_helper.LOOKUP} HTTP/1.1\r\n"
        f"Host: {platform_helper.HOST}\r\n"
        f"X-Agatedock-Attempt-Id: {request_id}\r\n"
        f"Authorization: Bearer {platform_helper.KEY}\r\n\r\n"
    ).encode()


class DrainTest(platform_helper.RouterCase):
    """A router that drains after SIGTERM."""

    async def connect(self):
        """Opens a connection of a client."""
        host, port = self.config.listen.frontend.split(":")
        return await asyncio.open_connection(host, int(port))

    async def read_status(self, reader) -> int:
        """Returns the status of the next response."""
        line = await asyncio.wait_for(reader.readline(), 2)
        return int(line.split()[1])

    async def test_request_on_a_connection_that_was_just_opened(self):
        """It gets a response although idle connections are being closed."""
        statuses = []
        self.stop.set()
        await self.wait_ready(False)
        for index in range(10):
            reader, writer = await self.connect()
            # The server has accepted the connection, but does not wait for a
            # request yet.
            self.router.core.frontend.close_idle_connections()
            await asyncio.sleep(0)
            self.router.core.frontend.close_idle_connections()
            writer.write(format_request(f"late-{index}"))
            statuses.append(await self.read_status(reader))
            writer.close()
        self.assertEqual(statuses, [200] * 10)

    async def test_idle_connection_is_closed(self):
        reader, writer = await self.connect()
        writer.write(format_request("first"))
        self.assertEqual(await self.read_status(reader), 200)
        await asyncio.sleep(0.05)
        self.router.core.frontend.close_idle_connections()
        await asyncio.wait_for(reader.read(), 2)
        self.assertTrue(reader.at_eof())
        writer.close()

    async def test_request_just_read_on_an_idle_connection(self):
        """It gets a response although its connection was idle before."""
        reader, writer = await self.connect()
        writer.write(format_request("first"))
        self.assertEqual(await self.read_status(reader), 200)
        await asyncio.sleep(0.05)
        (connection,) = self.router.core.frontend.list_idle_connections()
        connection.data_received(format_request("second"))
        self.router.core.frontend.close_idle_connections()
        rest = await asyncio.wait_for(reader.readuntil(b"HTTP/1.1 "), 2)
        self.assertIn(b"run by", rest)
        self.assertEqual(await reader.readexactly(3), b"200")
        writer.close()

    async def test_late_request_is_rejected_as_not_run(self):
        # A client without a request so far keeps the process running.
        _, writer = await self.connect()
        self.addCleanup(writer.close)
        self.stop.set()
        await asyncio.sleep(3.0)
        status, headers, _ = await self.call(platform_helper.ORDER)
        self.assertEqual(status, 503)
        self.assertEqual(headers["Connection"], "close")
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.list_runs(), [])

    async def test_unresponsive_store_does_not_delay_the_shutdown(self):
        """The lease request gets no more time than the grace period leaves."""
        _, writer = await self.connect()
        self.addCleanup(writer.close)
        deadlines_s = []

        async def end_lease(lease_id: int, timeout_s: float) -> None:
            del lease_id
            elapsed_s = self.router.core.get_drain_elapsed_s()
            deadlines_s.append(elapsed_s + timeout_s)
            raise errors.Unavailable("silent")

        self.router._store.end_lease = end_lease  # noqa: SLF001
        self.stop.set()
        await self.task
        (deadline_s,) = deadlines_s
        self.assertGreater(deadline_s, 4.6)
        self.assertLess(deadline_s, self.config.bounds.grace_s)


class SlowClientTest(platform_helper.RouterCase):
    """Clients that send an incomplete request, or none."""

    async def connect(self):
        """Opens a connection of a client."""
        host, port = self.config.listen.frontend.split(":")
        return await asyncio.open_connection(host, int(port))

    async def test_incomplete_head_times_out(self):
        """The head comes byte by byte, on a connection used before."""
        reader, writer = await self.connect()
        writer.write(format_request("r1"))
        self.assertIn(b"200", await reader.readuntil(b"run by shop-"))
        await asyncio.sleep(0.05)
        for byte in b"GET":
            writer.write(bytes([byte]))
            await asyncio.sleep(0.2)
        response = await asyncio.wait_for(reader.read(), 2)
        self.assertIn(b"408", response)
        writer.close()

    async def test_slow_body_does_not_time_out_as_a_head(self):
        reader, writer = await self.connect()
        head = format_request("r1").replace(b"GET", b"POST", 1)
        head = head.replace(
            platform_helper.LOOKUP.encode(), platform_helper.ORDER.encode()
        )
        writer.write(head[:-2] + b"Content-Length: 8\r\n\r\n")
        for byte in b"12345678":
            writer.write(bytes([byte]))
            await asyncio.sleep(0.2)
        line = await asyncio.wait_for(reader.readline(), 2)
        self.assertIn(b"200", line)
        writer.close()

    async def test_connection_without_a_request_is_closed(self):
        reader, writer = await self.connect()
        response = await asyncio.wait_for(reader.read(), 7)
        self.assertEqual(response, b"")
        writer.close()
