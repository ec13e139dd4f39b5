"""Crowds for which a VM has many descriptors and little memory.

The VMs of the platform have 4,100 descriptors and more, and 200 MB and more:
less memory for each connection than in test_crowds.
"""

from __future__ import annotations

from test import crowd
from test import test_crowds

CROWD = 700
BODY_BYTES = 64 * 1024
LENGTH = f"Content-Length: {BODY_BYTES}\r\n\r\n"
# Many short lines just below the limit on a whole head. A text with the
# character at its start takes four bytes for each character.
LONG_LINES = "".join(
    f"X-Field-{number:03}: \U0001f4e6{'v' * 100}\r\n" for number in range(230)
)
# The same within the limit on one line.
SHORT_LINES = "".join(
    f"X-Field-{number:03}: \U0001f4e6{'v' * 100}\r\n" for number in range(100)
)


class WideCase(crowd.CrowdCase):
    """A process with room for 700 connections of clients."""

    descriptors_max = 2 * CROWD
    # No request of the crowd is refused for the load of the replicas.
    slots = 2 * CROWD


class WideTest(WideCase):
    """Clients that stay open with little each."""

    async def send_bodies(self, head: bytes, unit: bytes) -> None:
        await self.send_crowd(
            head, unit, CROWD, sent_max_bytes=BODY_BYTES - len(unit)
        )
        await self.check_process()

    async def test_bodies_that_stop_short(self):
        head = test_crowds.format_head(lines=LENGTH)
        await self.send_bodies(head, b"x" * 1024)

    async def test_bodies_in_pieces_that_stop_short(self):
        head = test_crowds.format_head(lines=test_crowds.CHUNKED)
        await self.send_bodies(head, b"400\r\n" + b"x" * 0x400 + b"\r\n")

    async def test_long_bodies_that_stop_short(self):
        head = test_crowds.format_head(lines=test_crowds.LENGTH)
        await self.send_crowd(
            head, b"x" * 1024, CROWD, sent_max_bytes=8 * BODY_BYTES
        )
        await self.check_process()

    async def test_bodies_of_refused_requests(self):
        head = test_crowds.format_head("/nowhere/", LENGTH)
        await self.send_bodies(head, b"x" * 1024)

    async def test_long_heads_with_bodies_that_never_come(self):
        head = test_crowds.format_head(lines=LONG_LINES + LENGTH)
        await self.send_crowd(head, b"", CROWD)
        await self.check_process()

    async def test_long_heads_with_bodies_that_stop_short(self):
        head = test_crowds.format_head(lines=LONG_LINES + LENGTH)
        await self.send_bodies(head, b"x" * 1024)

    async def test_long_heads_of_requests_that_are_served(self):
        self.replicas[1].work_s = crowd.HANG_S
        lines = SHORT_LINES + "Content-Length: 0\r\n\r\n"
        head = test_crowds.format_head(lines=lines)
        await self.send_crowd(head, b"", CROWD // 2)
        self.replicas[1].work_s = 0.0
        await self.check_process()

    async def test_heads_of_short_lines_with_bodies_that_never_come(self):
        head = test_crowds.format_head(lines="a:b\r\n" * 240 + LENGTH)
        await self.send_crowd(head, b"", CROWD)
        await self.check_process()

    async def test_trailers_that_stop_short(self):
        head = test_crowds.format_head(lines=test_crowds.CHUNKED)
        data = b"400\r\n" + b"x" * 0x400 + b"\r\n0\r\n"
        await self.send_crowd(head + data + LONG_LINES.encode(), b"", CROWD)
        await self.check_process()

    async def test_connections_that_send_nothing(self):
        await self.send_crowd(b"", b"", 2 * CROWD)
        await self.check_process()

    async def test_connections_that_wait_for_another_request(self):
        head = test_crowds.format_head("/nowhere/", "\r\n")
        await self.send_crowd(head, b"", 2 * CROWD)
        await self.check_process()

    async def test_bytes_behind_a_request_to_switch_protocols(self):
        lines = "Connection: upgrade\r\nUpgrade: websocket\r\n\r\n"
        head = test_crowds.format_head(lines=lines)
        self.replicas[1].work_s = crowd.HANG_S
        await self.send_crowd(
            head, b"x" * 1024, CROWD // 2, sent_max_bytes=BODY_BYTES
        )
        self.replicas[1].work_s = 0.0
        await self.check_process()


class QueueTest(crowd.CrowdCase):
    """Requests with long heads on the same connection."""

    async def test_long_heads_behind_a_request_that_waits(self):
        self.replicas[1].work_s = crowd.HANG_S
        lines = SHORT_LINES + "Content-Length: 0\r\n\r\n"
        await self.send_crowd(b"", test_crowds.format_head(lines=lines))
        self.replicas[1].work_s = 0.0
        await self.check_process()


class OtherListenerCase(crowd.CrowdCase):
    """Crowds at the listeners that are not for clients."""

    async def send_all(
        self, head: bytes, unit: bytes, size: int = crowd.CROWD
    ) -> None:
        """Lets a crowd of this size send at each of the three listeners."""
        for address in (self.probes, self.metrics, self.peers):
            with self.subTest(address=address):
                await self.send_crowd(head, unit, size, address)
                await self.check_process()


class OtherListenerTest(OtherListenerCase):
    """Heads and bodies without end, and more connections than allowed."""

    async def test_heads_of_many_lines(self):
        line = b"X-Long: " + b"a" * 4000 + b"\r\n"
        await self.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n", line)

    async def test_heads_with_a_line_without_end(self):
        await self.send_all(b"GET / HTTP/1.1\r\nX-Long: ", b"a")

    async def test_heads_that_stop_short(self):
        line = b"X-Long: " + b"a" * 8000 + b"\r\n"
        head = b"GET / HTTP/1.1\r\nHost: a\r\n" + line * 100
        await self.send_all(head, b"", 2 * crowd.CROWD)

    async def test_empty_lines_without_end(self):
        await self.send_all(b"", b"\r\n")

    async def test_whole_bodies(self):
        head = (
            "POST /listing HTTP/1.1\r\nHost: a\r\n"
            f"Content-Length: {crowd.BODY_MAX_BYTES}\r\n\r\n"
        )
        await self.send_all(head.encode(), b"x" * 4096)

    async def test_bodies_in_pieces(self):
        head = (
            b"POST /listing HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        await self.send_all(head, b"10\r\n" + b"x" * 0x10 + b"\r\n", 20)

    async def test_trailers_without_end(self):
        head = (
            b"POST /listing HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
        )
        await self.send_all(head, b"X-Long: " + b"a" * 4000 + b"\r\n")

    async def test_many_requests_at_once(self):
        await self.send_all(b"", b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")

    async def test_connections_that_send_nothing(self):
        await self.send_all(b"", b"", 2 * crowd.DESCRIPTORS_MAX)

    async def test_connections_that_wait_for_another_request(self):
        head = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
        await self.send_all(head, b"", 2 * crowd.DESCRIPTORS_MAX)
