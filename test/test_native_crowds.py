"""Crowds at a router with the native API, whose VM is not described.

Its limits are the defaults, and those of the operating system.
"""

from __future__ import annotations

import os
import resource
import unittest

from standins import fleet
from test import crowd
from test import helper

# Memory of the smallest VM of the users' pages.
MEMORY_MB = 200
DESCRIPTORS_MAX = 256
BODY_MAX_BYTES = 1024 * 1024
LINES = "X-Client-Account: small\r\n"
LONG_LINES = "".join(
    f"X-Field-{number:03}: \U0001f4e6{'v' * 100}\r\n" for number in range(100)
)


def format_head(
    method: str = "POST", path: str = "/svc/shop/orders", lines: str = ""
) -> bytes:
    """Returns the head of a request, whose last line is still to come."""
    return (f"{method} {path} HTTP/1.1\r\nHost: a\r\n{LINES}{lines}").encode()


LENGTH = f"Content-Length: {BODY_MAX_BYTES}\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


class NativeCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet of one router that may open few descriptors."""

    async def asyncSetUp(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS_MAX, hard))
        try:
            self.fleet = fleet.Fleet(
                helper.make_plan(routers=1, engines=1, replicas=1)
            )
            await self.enterAsyncContext(self.fleet)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        (self.router,) = self.fleet.routers.values()
        self.crowd = crowd.Crowd()
        self.addCleanup(self.crowd.close)
        self.caller = helper.Caller(self.fleet)

    async def send_crowd(
        self,
        head: bytes,
        unit: bytes = b"",
        size: int = crowd.CROWD,
        is_peer: bool = False,
    ) -> None:
        """Lets a crowd send to the clients' or the peers' port."""
        port = self.router.ports["peer" if is_peer else "caller"]
        await self.crowd.send(
            f"127.0.0.1:{port}", head, unit, size, BODY_MAX_BYTES - 1
        )

    async def check_process(self) -> None:
        """Asserts that the process lives within its limits, and serves.

        An order and a chat are answered, and the dump that operators ask for.
        """
        self.assertTrue(self.router.is_running)
        order = await self.caller.order(self.router, "two bags")
        self.assertEqual(order.status, 200)
        chat = await self.caller.chat(self.router, "chat-1", tokens=1)
        self.assertTrue(chat.whole)
        await self.fleet.dump(self.router)
        pid = self.router.child.pid
        peak_mb = crowd.read_peak_mb(pid)
        unread_mb = crowd.read_unread_bytes(pid) / 2**20
        self.assertLessEqual(peak_mb + unread_mb, MEMORY_MB)
        self.assertLess(len(os.listdir(f"/proc/{pid}/fd")), DESCRIPTORS_MAX)


class ClientPortTest(NativeCase):
    """Crowds at the port for clients."""

    async def test_heads_of_many_lines(self):
        line = b"X-Long: " + b"a" * 4000 + b"\r\n"
        await self.send_crowd(format_head(), line)
        await self.check_process()

    async def test_whole_bodies(self):
        await self.send_crowd(format_head(lines=LENGTH), b"x" * 4096)
        await self.check_process()

    async def test_bodies_in_small_pieces(self):
        piece = b"10\r\n" + b"x" * 0x10 + b"\r\n"
        await self.send_crowd(format_head(lines=CHUNKED), piece, 20)
        await self.check_process()

    async def test_long_heads_on_one_connection(self):
        lines = LONG_LINES + "Content-Length: 0\r\n\r\n"
        await self.send_crowd(b"", format_head("GET", lines=lines))
        await self.check_process()

    async def test_connections_that_send_nothing(self):
        await self.send_crowd(b"", b"", 2 * DESCRIPTORS_MAX)
        await self.check_process()

    async def test_short_bodies_that_never_end(self):
        head = format_head(lines=LENGTH)
        await self.send_crowd(head, b"", 2 * DESCRIPTORS_MAX)
        await self.check_process()


class PeerPortTest(NativeCase):
    """Crowds at the port for peers and operators."""

    async def test_heads_of_many_lines(self):
        line = b"X-Long: " + b"a" * 4000 + b"\r\n"
        head = format_head("GET", "/dump")
        await self.send_crowd(head, line, is_peer=True)
        await self.check_process()

    async def test_heads_that_stop_short(self):
        line = b"X-Long: " + b"a" * 8000 + b"\r\n"
        head = format_head("GET", "/dump") + line * 100
        await self.send_crowd(head, size=2 * crowd.CROWD, is_peer=True)
        await self.check_process()

    async def test_configurations_that_stop_short(self):
        head = format_head("POST", "/config", LENGTH)
        await self.send_crowd(head, b"x" * 4096, 4 * crowd.CROWD, is_peer=True)
        await self.check_process()

    async def test_trailers_without_end(self):
        head = format_head("POST", "/config", CHUNKED) + b"0\r\n"
        line = b"X-Long: " + b"a" * 4000 + b"\r\n"
        await self.send_crowd(head, line, is_peer=True)
        await self.check_process()

    async def test_connections_that_send_nothing(self):
        await self.send_crowd(b"", b"", 2 * DESCRIPTORS_MAX, is_peer=True)
        await self.check_process()

    async def test_many_requests_for_the_dump(self):
        request = format_head("GET", "/dump", "\r\n")
        await self.send_crowd(b"", request, 20, is_peer=True)
        await self.check_process()
