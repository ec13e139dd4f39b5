"""Crowds of clients that send too much; one router process each.

Each test checks that the process lives within its memory and descriptors, and
that an ordinary request is answered; none depends on the machine's speed.
"""

from __future__ import annotations

from test import crowd
from test import platform_helper

KEY = f"Authorization: Bearer {platform_helper.KEY}\r\n"


def format_head(
    path: str = platform_helper.ORDER, lines: str = "", key: str = KEY
) -> bytes:
    """Returns the head of a request, whose last line is still to come."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {platform_helper.HOST}\r\n{key}{lines}"
    ).encode()


LENGTH = f"Content-Length: {crowd.BODY_MAX_BYTES}\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


class HeadTest(crowd.CrowdCase):
    """Heads that are too long, or that no request follows."""

    async def test_heads_of_many_lines(self):
        line = b"X-Long: " + b"a" * 4000 + b"\r\n"
        await self.send_crowd(format_head(), line)
        await self.check_process()

    async def test_heads_with_a_line_without_end(self):
        await self.send_crowd(format_head() + b"X-Long: ", b"a")
        await self.check_process()

    async def test_request_lines_without_end(self):
        await self.send_crowd(b"GET /", b"a")
        await self.check_process()

    async def test_heads_that_stop_short_of_the_limit(self):
        """Most of them stay open with all that is allowed."""
        line = b"X-Long: " + b"a" * 1000 + b"\r\n"
        size = crowd.HEAD_MAX_BYTES // len(line) - 1
        await self.send_crowd(format_head() + line * size, b"", 200)
        await self.check_process()

    async def test_empty_lines_without_end(self):
        await self.send_crowd(b"", b"\r\n")
        await self.check_process()

    async def test_requests_behind_one_that_waits(self):
        self.replicas[1].work_s = crowd.HANG_S
        request = format_head(lines="Content-Length: 0\r\n\r\n")
        await self.send_crowd(b"", request)
        self.replicas[1].work_s = 0.0
        await self.check_process()


class BodyTest(crowd.CrowdCase):
    """Bodies of legal size of which the last byte never comes."""

    async def test_whole_bodies(self):
        await self.send_crowd(format_head(lines=LENGTH), b"x" * 4096)
        await self.check_process()

    async def test_bodies_in_large_pieces(self):
        piece = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
        await self.send_crowd(format_head(lines=CHUNKED), piece)
        await self.check_process()

    async def test_bodies_in_small_pieces(self):
        piece = b"10\r\n" + b"x" * 0x10 + b"\r\n"
        await self.send_crowd(format_head(lines=CHUNKED), piece, 20)
        await self.check_process()

    async def test_bodies_of_requests_that_are_refused(self):
        head = format_head(path="/nowhere/", lines=LENGTH)
        await self.send_crowd(head, b"x" * 4096)
        await self.check_process()

    async def test_bodies_of_requests_without_a_key(self):
        piece = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
        head = format_head(lines=CHUNKED, key="")
        await self.send_crowd(head, piece)
        await self.check_process()

    async def test_pieces_with_extensions_without_end(self):
        head = format_head(lines=CHUNKED) + b"1;name="
        await self.send_crowd(head, b"a")
        await self.check_process()

    async def test_trailers_without_end(self):
        head = format_head(lines=CHUNKED) + b"0\r\n"
        await self.send_crowd(head, b"X-Long: " + b"a" * 4000 + b"\r\n")
        await self.check_process()


class ConnectionTest(crowd.CrowdCase):
    """More connections than the process has descriptors for."""

    async def test_connections_that_send_nothing(self):
        await self.send_crowd(b"", b"", 2 * crowd.DESCRIPTORS_MAX)
        await self.check_process()

    async def test_connections_with_a_short_body_that_never_ends(self):
        head = format_head(lines=LENGTH)
        await self.send_crowd(head, b"", 2 * crowd.DESCRIPTORS_MAX)
        await self.check_process()
